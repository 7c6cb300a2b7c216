// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"

	"fernrail/internal/protocol"
)

// chunkedRequest is the request ask with a body in chunks, and with further lines in its head.
func chunkedRequest(body, further string) string {
	first := strings.Replace(requestHead, "Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n"+further, 1)
	return fmt.Sprintf("%s%x;part=1\r\n%s\r\n0\r\n\r\n", first, len(body), body)
}

// bodyLikeHead is a body that reads like the head of a message.
const bodyLikeHead = "\ncontent-length: 1\r\n\r\n" +
	"POST /pay HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"

// TestChunks: a request in chunks is served like any other, however it comes in pieces and whatever its body or an
// earlier one says; one that tells a length beside is not, wherever it stands.
func TestChunks(t *testing.T) {
	sized := strings.Replace(requestHead, "Length: 1", fmt.Sprintf("Length: %d", len(bodyLikeHead)), 1) + bodyLikeHead
	both := chunkedRequest("b", "CONTENT-length: 1\r\n")
	lengthFirst := strings.Replace(both, "Transfer", "Content-Length: 1\r\nTransfer", 1)
	oldVersion := strings.Replace(chunkedRequest("b", ""), "HTTP/1.1", "HTTP/1.0", 1)
	oddBody := chunkedRequest(bodyLikeHead, "")
	for name, c := range map[string]struct {
		parts []string
		want  []int
	}{
		"alone":                        {[]string{chunkedRequest("b", "")}, []int{200}},
		"odd body":                     {[]string{oddBody}, []int{200}},
		"after an odd body":            {[]string{sized, sized, oddBody}, []int{200, 200, 200}},
		"length beside":                {[]string{both}, []int{411}},
		"length beside, first":         {[]string{lengthFirst}, []int{411}},
		"length beside, after another": {[]string{sized, both}, []int{200, 411}},
		"length beside, pipelined":     {[]string{sized + both}, []int{200, 411}},
		"odd name":                     {[]string{chunkedRequest("b", "X-Content-Length: 1\r\n")}, []int{200}},
		"over HTTP/1.0":                {[]string{oldVersion}, []int{411}},
	} {
		for seed := range uint64(4) {
			bodies := make(chan string, 10)
			d := NewConnectionBudget(1024)
			_, address := startServer(t, d, func(_ context.Context, q *protocol.Request) *protocol.Response {
				bodies <- string(q.Body)
				return &protocol.Response{Status: 200}
			})
			client := dialAndWrite(t, address, "")
			in, answers := bufio.NewReader(client), 0
			for _, text := range c.parts {
				go writeInPieces(client, text, rand.New(rand.NewPCG(seed, uint64(answers))))
				for range strings.Count(text, "X-Call-Class") {
					r, err := http.ReadResponse(in, nil)
					if err != nil || r.StatusCode != c.want[answers] {
						t.Fatalf("%s, seed %d: answer %d is %+v, %v", name, seed, answers, r, err)
					}
					io.Copy(io.Discard, r.Body)
					answers++
				}
			}
			for close(bodies); len(bodies) > 0; {
				if b := <-bodies; b != "b" && b != bodyLikeHead {
					t.Errorf("%s: a body became %q", name, b)
				}
			}
		}
	}
}

// writeInPieces writes a text cut at places by chance.
func writeInPieces(c net.Conn, text string, chance *rand.Rand) {
	for len(text) > 0 {
		n := 1 + chance.IntN(min(len(text), 1+chance.IntN(200)))
		io.WriteString(c, text[:n])
		text = text[n:]
	}
}

// FuzzRequestHead: however bytes are cut, a head goes on whole and nothing is changed, doubled or left behind; and a
// length in the first head is seen if http.ReadRequest sees it.
func FuzzRequestHead(f *testing.F) {
	for _, text := range []string{
		requestHead + "b",
		chunkedRequest(bodyLikeHead, ""),
		chunkedRequest("b", "content-LENGTH: 1\r\n"),
		"\r\n\r\n",
		"x",
		"POST / HTTP/1.1\nContent-Length: 4\n\nbody",
	} {
		f.Add(text, uint64(1))
	}
	f.Fuzz(func(t *testing.T, text string, seed uint64) {
		chance, h, out, seen := rand.New(rand.NewPCG(seed, 5)), requestHeadScanner{}, "", false
		buffer := make([]byte, 64)
		for left := text; len(left) > 0 || len(h.withheld) > 0; {
			if n := h.readWithheld(buffer[:1+chance.IntN(63)]); n > 0 {
				out += string(buffer[:n])
				continue
			}
			n := copy(buffer[:1+chance.IntN(63)], left)
			was := h.headComplete
			left, n = left[n:], h.scan(buffer[:n])
			if out += string(buffer[:n]); h.headComplete && !was {
				seen = h.hasContentLength()
			}
		}
		if out != text {
			t.Errorf("%q became %q", text, out)
		}
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err == nil && len(r.Header["Content-Length"]) > 0 && !seen {
			t.Errorf("%q: its length was not seen", text)
		}
	})
}
