// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"time"
)

// AdminCall makes an operators' call; empty: it was not answered.
func (n *Node) AdminCall(line string) string {
	c, err := net.DialTimeout("tcp", n.Admin, time.Second)
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	io.WriteString(c, line+"\n")
	answer, _ := io.ReadAll(c)
	return string(answer)
}

// AdminQuery makes an operators' call that is answered in JSON.
func (n *Node) AdminQuery(line string, out any) error {
	text, whole := strings.CutSuffix(n.AdminCall(line), "END\n")
	if !whole {
		return errors.New("no answer: " + text)
	}
	return json.Unmarshal([]byte(text), out)
}

// WaitReady waits until the node takes clients.
func (n *Node) WaitReady() {
	n.cluster.Helper()
	n.cluster.Until(n.Name+" serves", 20*time.Second, func() bool { return strings.HasPrefix(n.AdminCall("readyz"), "OK") })
}
