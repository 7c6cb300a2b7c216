// SPDX-License-Identifier: Apache-2.0

//go:build review

package lab2

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	// pipelineClients is the number of clients, one after the other.
	pipelineClients = 5
	// pipelined is the number of requests that a client sends at once on its connection.
	pipelined = 24
	// pipelinedBody is the size of each body, in bytes; the pages allow 64 KiB.
	pipelinedBody = 8 << 10
	// crossing is the time before the end of a connection in which a request may be on its way. One that was
	// written earlier has not crossed that end.
	crossing = 200 * time.Millisecond
)

// playPipeline has clients send many requests on one connection. The disruption: they send them all at once.
// Without it, each waits for the answer to the one before.
func playPipeline(p *platform) error {
	var listed []endpoint
	for i := range 2 {
		e, err := startExecutor(p.rec, fmt.Sprintf("s-%d", i), 30*time.Millisecond)
		if err != nil {
			return errors.Join(errSetup, err)
		}
		listed = append(listed, e.endpoint())
	}
	d, err := startDiscovery(listed)
	if err != nil {
		return errors.Join(errSetup, err)
	}
	node, listen, err := startSingleNode(p, d, smallDeployment(1, scheme("render", "idempotent", 5*s)))
	if err != nil {
		return errors.Join(errSetup, err)
	}
	var lost []string
	for number := range pipelineClients {
		unanswered, err := p.pipelineClient(listen, number)
		if err != nil {
			return errors.Join(errSetup, err)
		}
		lost = append(lost, unanswered...)
	}
	p.rec.add("node n0: telemetry: %s", node.call("telemetry"))
	if len(lost) > 0 {
		return fmt.Errorf("%w: %d of %d requests were taken and not answered: %s",
			errBroken, len(lost), pipelineClients*pipelined, strings.Join(lost, " "))
	}
	return nil
}

// pipelineClient sends the requests of one client and returns the ids of the lost ones.
func (p *platform) pipelineClient(listen string, number int) (lost []string, err error) {
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	var ids, texts []string
	for i := range pipelined {
		id := fmt.Sprintf("p%d-%d", number, i)
		head := requestHead(id, "render", 5*time.Second, pipelinedBody) + "\r\n"
		ids, texts = append(ids, id), append(texts, head+strings.Repeat("x", pipelinedBody))
	}
	if p.trouble {
		texts[0] = strings.Join(texts, "")
		clear(texts[1:])
	}
	var written time.Time // of the latest request
	for i, id := range ids {
		if _, err := io.WriteString(conn, texts[i]); err != nil {
			return nil, err
		}
		if texts[i] != "" {
			p.rec.add("client %d: has sent %d bytes from %s on", number, len(texts[i]), id)
			written = time.Now()
		}
		got := readAnswer(conn, in, 5*time.Second+500*time.Millisecond)
		p.rec.add("client %d: %s gets %s", number, id, got)
		if got.status == 0 {
			if time.Since(written) < crossing {
				return nil, fmt.Errorf("the connection ended as %s came: %w", id, got.err)
			}
			return ids[i:], nil
		}
	}
	return nil, nil
}
