// SPDX-License-Identifier: Apache-2.0

//go:build review2

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// badClients is the number of bad clients, one after the other.
const badClients = 5

// playSmuggle has bad clients send requests with both a Content-Length and chunks. The disruption: such a
// request comes second on a connection, behind an empty line. Without it, the same request comes without that
// line, and the empty line before an ordinary request.
func playSmuggle(p *platform) error {
	executor, err := startExecutor(p.rec, "s-0", 50*time.Millisecond)
	if err != nil {
		return errors.Join(errSetup, err)
	}
	d, err := startDiscovery([]endpoint{executor.endpoint()})
	if err != nil {
		return errors.Join(errSetup, err)
	}
	_, listen, err := startSingleNode(p, d, smallDeployment(1, scheme("render", "idempotent", 5*s)))
	if err != nil {
		return errors.Join(errSetup, err)
	}
	for number := range badClients {
		if err := badClient(p, listen, number); err != nil {
			return errors.Join(errSetup, err)
		}
	}
	if passed := executor.ran("both-"); len(passed) > 0 {
		return fmt.Errorf("%w: requests with both lengths were passed on to the executor: %s",
			errBroken, strings.Join(passed, " "))
	}
	return nil
}

// badClient sends an ordinary request, and on the same connection a request with both lengths, in whose body
// another request is hidden.
func badClient(p *platform, listen string, number int) error {
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return err
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	emptyLine := ""
	ordinary := requestHead(fmt.Sprintf("plain-%d", number), "render", 5*time.Second, 5) + "\r\nhello"
	if err := p.exchange(conn, in, ordinary); err != nil {
		return err
	}
	if p.trouble {
		emptyLine = "\r\n"
	} else {
		line := requestHead(fmt.Sprintf("line-%d", number), "render", 5*time.Second, 5)
		if err := p.exchange(conn, in, "\r\n"+line+"\r\nhello"); err != nil {
			return err
		}
	}
	hidden := requestHead(fmt.Sprintf("hidden-%d", number), "render", 5*time.Second, 0) + "\r\n"
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)
	both := requestHead(fmt.Sprintf("both-%d", number), "render", 5*time.Second, 5) + "Transfer-Encoding: chunked\r\n\r\n"
	return p.exchange(conn, in, emptyLine+both+chunks)
}

// exchange sends a text and reads an answer or the end of the connection, either of which a bad client is
// owed.
func (p *platform) exchange(conn net.Conn, in *bufio.Reader, text string) error {
	p.rec.add("client sends %q", text)
	if _, err := io.WriteString(conn, text); err != nil {
		return err
	}
	p.rec.add("client gets %s", readAnswer(conn, in, 6*time.Second))
	return nil
}
