// SPDX-License-Identifier: Apache-2.0

// Command toy runs discovery and a few servers for trying out one node. The servers process each request for
// a while; the first one fails a quarter of its requests, to show retries.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// entry is a server in the endpoint list.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

func main() {
	discovery := flag.String("discovery", "127.0.0.1:8500", "address that discovery listens on")
	count := flag.Int("executors", 3, "number of servers")
	work := flag.Duration("work", 200*time.Millisecond, "mean processing time of a request")
	flag.Parse()

	var servers []entry
	for i := range *count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			log.Fatal(err)
		}
		id := fmt.Sprintf("s-%d", i)
		servers = append(servers, entry{ID: id, Addr: l.Addr().String(), Zone: "home", Kind: "toy",
			State: "Ready", Weight: 4})
		go func() { log.Fatal(http.Serve(l, serveRequests(id, *work, i == 0))) }()
	}
	log.Printf("%d servers, discovery listens on %s", *count, *discovery)
	log.Fatal(http.ListenAndServe(*discovery, list(servers)))
}

// serveRequests returns the handler of a server, which reports the start and the result of each request. A
// flaky server fails a quarter of its requests.
func serveRequests(id string, work time.Duration, flaky bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		job := r.Header.Get("X-Call-Id")
		body, err := io.ReadAll(r.Body)
		if job == "" || err != nil {
			http.NotFound(w, r)
			return
		}
		if flaky && rand.IntN(4) == 0 {
			http.Error(w, "out of luck", http.StatusInternalServerError)
			return
		}
		send := func(state, result string) {
			line := map[string]string{"id": job, "from": id, "state": state}
			if state == "done" {
				line["result"] = result
			}
			// Errors are ignored: the node has closed the connection.
			_ = json.NewEncoder(w).Encode(line)
			_ = http.NewResponseController(w).Flush()
		}
		send("started", "")
		time.Sleep(work/2 + rand.N(work))
		send("done", fmt.Sprintf("%s did %s with %d bytes\n", id, r.URL.Path, len(body)))
		log.Printf("%s %s %s", id, job, r.URL.Path)
	}
}

// list returns the handler of discovery. The list never changes, so that a poll for changes returns an empty
// update after its timeout.
func list(servers []entry) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		response := map[string]any{"version": 1, "full": true, "servers": servers}
		if r.URL.Query().Get("since") == "1" {
			wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
			time.Sleep(time.Duration(wait) * time.Millisecond)
			response = map[string]any{"version": 1, "full": false, "servers": []entry{}}
		}
		_ = json.NewEncoder(w).Encode(response) // a node that has disconnected polls again
	}
}
