// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	adminDialTimeout = time.Second
	adminTimeout     = 2 * time.Second
	// adminEnd is the last line of a whole answer.
	adminEnd = "END\n"
)

// errNoAnswer says that an admin command had no whole answer.
var errNoAnswer = errors.New("no answer to an admin command")

// AdminCall sends an admin command and returns the answer; empty: there was none.
func (n *Node) AdminCall(command string) string {
	c, err := net.DialTimeout("tcp", n.Admin, adminDialTimeout)
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(adminTimeout))
	if _, err := io.WriteString(c, command+"\n"); err != nil {
		return ""
	}
	answer, _ := io.ReadAll(c) // what came before an error shows how far the node got
	return string(answer)
}

// AdminQuery sends an admin command whose answer is JSON, and decodes that.
func (n *Node) AdminQuery(command string, answer any) error {
	text, whole := strings.CutSuffix(n.AdminCall(command), adminEnd)
	if !whole {
		return fmt.Errorf("%w: %q", errNoAnswer, text)
	}
	return json.Unmarshal([]byte(text), answer)
}

// WaitReady waits until the node takes clients.
func (n *Node) WaitReady() {
	n.cluster.Helper()
	n.cluster.Until(n.Name+" serves", serveTimeout, func() bool {
		return strings.HasPrefix(n.AdminCall("readyz"), "OK")
	})
}
