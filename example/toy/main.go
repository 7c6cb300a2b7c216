// SPDX-License-Identifier: Apache-2.0

// Command toy is a small world for one node: a few executors that run a job for a while and a discovery that lists
// them. One of the executors answers with errors now and then, so that there is something to see.
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
	discovery := flag.String("discovery", "127.0.0.1:8500", "where discovery listens")
	count := flag.Int("executors", 3, "how many executors there are")
	work := flag.Duration("work", 200*time.Millisecond, "how long a job runs on average")
	flag.Parse()

	var servers []entry
	for i := range *count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			log.Fatal(err)
		}
		id := fmt.Sprintf("s-%d", i)
		servers = append(servers, entry{ID: id, Addr: l.Addr().String(), Zone: "home", Kind: "toy", State: "Ready", Weight: 4})
		go func() { log.Fatal(http.Serve(l, executor(id, *work, i == 0))) }()
	}
	log.Printf("%d executors, discovery on %s", *count, *discovery)
	log.Fatal(http.ListenAndServe(*discovery, list(servers)))
}

// executor takes a job, tells when it starts, and gives its result.
func executor(id string, work time.Duration, flawed bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		job := r.Header.Get("X-Call-Id")
		body, err := io.ReadAll(r.Body)
		if job == "" || err != nil {
			http.NotFound(w, r)
			return
		}
		if flawed && rand.IntN(4) == 0 {
			http.Error(w, "out of luck", http.StatusInternalServerError)
			return
		}
		say := func(state, result string) {
			line := map[string]string{"id": job, "from": id, "state": state}
			if state == "done" {
				line["result"] = result
			}
			// A node that has closed its connection has nobody left to tell.
			_ = json.NewEncoder(w).Encode(line)
			_ = http.NewResponseController(w).Flush()
		}
		say("started", "")
		time.Sleep(work/2 + rand.N(work))
		say("done", fmt.Sprintf("%s did %s with %d bytes\n", id, r.URL.Path, len(body)))
		log.Printf("%s %s %s", id, job, r.URL.Path)
	}
}

// list tells of the executors, which never change; a watch ends without news when its time is over.
func list(servers []entry) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		answer := map[string]any{"version": 1, "full": true, "servers": servers}
		if r.URL.Query().Get("since") == "1" {
			wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
			time.Sleep(time.Duration(wait) * time.Millisecond)
			answer = map[string]any{"version": 1, "full": false, "servers": []entry{}}
		}
		_ = json.NewEncoder(w).Encode(answer) // a node that has closed asks again
	}
}
