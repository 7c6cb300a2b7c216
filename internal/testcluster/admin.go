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
	// adminReplyEnd is the last line of a complete reply.
	adminReplyEnd = "END\n"
)

// errIncompleteReply reports that an admin command got no reply, or only a part of one.
var errIncompleteReply = errors.New("incomplete reply to an admin command")

// AdminCall sends an admin command and returns the reply, or "" if there was none.
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
	reply, _ := io.ReadAll(c) // the part received before an error shows how far the node got
	return string(reply)
}

// AdminQuery sends an admin command whose reply is JSON, and decodes the reply.
func (n *Node) AdminQuery(command string, reply any) error {
	text, complete := strings.CutSuffix(n.AdminCall(command), adminReplyEnd)
	if !complete {
		return fmt.Errorf("%w: %q", errIncompleteReply, text)
	}
	return json.Unmarshal([]byte(text), reply)
}

// WaitReady waits until the node accepts requests of clients.
func (n *Node) WaitReady() {
	n.cluster.Helper()
	n.cluster.Until(n.Name+" serves", serveTimeout, func() bool {
		return strings.HasPrefix(n.AdminCall("readyz"), "OK")
	})
}
