// SPDX-License-Identifier: Apache-2.0

//go:build review2

package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	spoiltDuration = 30 * time.Second
	// spoiltPause is the time between two requests: some 120 a second, every other one must not run twice.
	spoiltPause = 8 * time.Millisecond
	// spoiltExecutors is the number of executors.
	spoiltExecutors = 3
)

// playSpoilt sends requests of two classes, one of which must not run twice, to executors that are full from
// time to time. The disruption: one of ten answers of the executors comes a second time, 1 to 8 ms late.
func playSpoilt(p *platform) error {
	var executors []*spoiltExecutor
	var listed []endpoint
	for i := range spoiltExecutors {
		e, err := startSpoiltExecutor(p.rec, fmt.Sprintf("s-%d", i), time.Duration(i)*busyCycle/spoiltExecutors)
		if err != nil {
			return errors.Join(errSetup, err)
		}
		e.spoils = p.trouble
		executors = append(executors, e)
		listed = append(listed, e.endpoint())
	}
	d, err := startDiscovery(listed)
	if err != nil {
		return errors.Join(errSetup, err)
	}
	settings := smallDeployment(1, scheme("render", "idempotent", 5*s), scheme("charge", "at_most_once", 5*s))
	node, listen, err := startSingleNode(p, d, settings)
	if err != nil {
		return errors.Join(errSetup, err)
	}
	sendMixed(p.rec, listen)
	p.rec.add("node n0: telemetry: %s", node.call("telemetry"))
	if twice := ranTwice(p.rec, executors, "charge"); len(twice) > 0 {
		return fmt.Errorf("%w: %d requests that must not run twice ran twice: %s",
			errBroken, len(twice), strings.Join(twice, " "))
	}
	return nil
}

// sendMixed sends requests of both classes for spoiltDuration and waits for their answers.
func sendMixed(rec *record, listen string) {
	var clients sync.WaitGroup
	defer clients.Wait()
	began := time.Now()
	for number := 0; time.Since(began) < spoiltDuration; number++ {
		time.Sleep(spoiltPause)
		class := "charge"
		if number%2 == 0 {
			class = "render"
		}
		clients.Go(func() {
			id := fmt.Sprintf("%s-%d", class, number)
			rec.add("client: sends %s", id)
			got, _ := sendOnce(listen, id, class, 5*time.Second)
			rec.add("client: %s gets %s", id, got)
		})
	}
}

// ranTwice returns the sorted ids of the requests of a class that more than one run was begun for.
func ranTwice(rec *record, executors []*spoiltExecutor, class string) (twice []string) {
	runs := map[string][]string{} // the executors that ran a request, by id
	for _, e := range executors {
		for _, id := range e.ran() {
			runs[id] = append(runs[id], e.name)
		}
	}
	for id, at := range runs {
		if strings.HasPrefix(id, class) && len(at) > 1 {
			twice = append(twice, id)
		}
	}
	slices.Sort(twice)
	for _, id := range twice {
		rec.add("executors: %s was run at %s", id, strings.Join(runs[id], ", "))
	}
	rec.add("executors: %d requests ran, %d of class %s twice", len(runs), len(twice), class)
	return twice
}

// readJob reads a request to an executor whole and returns its id.
func readJob(r *http.Request) (id string, err error) {
	defer r.Body.Close()
	_, err = io.Copy(io.Discard, r.Body)
	return r.Header.Get("X-Call-Id"), err
}
