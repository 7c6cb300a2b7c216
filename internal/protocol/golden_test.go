// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// updateGolden rewrites the golden files. They contain what other programs read or write, so a difference
// is a change of the protocol.
var updateGolden = flag.Bool("update", false, "write the golden files of testdata")

var goldenNames = &Names{
	Zones:        []string{"north", "south"},
	MachineTypes: []string{"small", "large"},
	Classes:      []string{"render", "pay"},
	Tenants:      []string{"acme", "globex"},
}

// fixture returns the content of a file in testdata.
func fixture(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// checkGolden compares got with a golden file, byte for byte.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	if *updateGolden {
		if err := os.WriteFile(filepath.Join("testdata", name), got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if want := fixture(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s differs\ngot:\n%s\nwant:\n%s", name, got, want)
	}
}

// clientRequest returns a client's request in the form in which the HTTP server passes it on.
func clientRequest(t *testing.T, text string) *http.Request {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		t.Fatal(err)
	}
	r.Body = http.MaxBytesReader(httptest.NewRecorder(), r.Body, MaxBodyBytes)
	return r
}

// wireLines returns a fixture with CRLF line endings.
func wireLines(t *testing.T, name string) string {
	t.Helper()
	return strings.ReplaceAll(string(fixture(t, name)), "\n", "\r\n")
}

// TestGoldenClientRequest checks how a client's request is decoded.
func TestGoldenClientRequest(t *testing.T) {
	request, requestErr := DecodeRequest(clientRequest(t, wireLines(t, "client_request.http")),
		goldenNames, false)
	if requestErr != nil {
		t.Fatal(requestErr)
	}
	var got bytes.Buffer
	fmt.Fprintf(&got,
		"id %q\ntarget %q\nclass %d\ntenant %d\ntimeout %s\nslots %v\nmemory %v\nkey %d\nwork %d\n",
		request.ID, request.Target, request.Class, request.Tenant, request.Timeout, request.Slots,
		request.Memory, request.AffinityKey, request.ExpectedWork)
	request.Header.Write(&got)
	fmt.Fprintf(&got, "body %q\n", request.Body)
	checkGolden(t, "client_request.golden", got.Bytes())
}

// TestGoldenServerRequest checks the request to a server.
func TestGoldenServerRequest(t *testing.T) {
	request, requestErr := DecodeRequest(clientRequest(t, wireLines(t, "client_request.http")),
		goldenNames, false)
	if requestErr != nil {
		t.Fatal(requestErr)
	}
	var got bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		attempt := &Attempt{Address: "10.0.0.1:7000", Request: request,
			Deadline: time.Now().Add(437 * time.Millisecond)}
		if err := attempt.Encode().Write(&got); err != nil {
			t.Error(err)
		}
	})
	checkGolden(t, "server_request.golden", got.Bytes())
}

// TestGoldenRequestErrors checks the status and the text of the response to each kind of invalid request.
func TestGoldenRequestErrors(t *testing.T) {
	valid := wireLines(t, "client_request.http")
	var got bytes.Buffer
	for _, change := range [][2]string{
		{"POST", "GET"},
		{"Content-Length: 4", "X-Length: 4"},
		{"Content-Length: 4", "Content-Length: 65537"},
		{"Content-Length: 4", "Content-Length: 9"},
		{"X-Note: plain", "X-Note: \u00e9"},
		{"X-Call-Class: pay", "X-Call-Class: render"},
		{"X-Call-Id: 9b1f", "X-Call-Id: 9b 1f"},
		{"X-Call-Id: 9b1f\r\n", ""},
		{"X-Call-Id: 9b1f", "X-Call-Id: " + strings.Repeat("x", 257)},
		{"X-Caller: globex", "X-Caller: nobody"},
		{"X-Budget-Ms: 480", "X-Budget-Ms: 0"},
		{"slots=2.5", "slots=0"},
		{"mem=0.5", "mem=-1"},
		{"X-Call-Cost: 1500", "X-Call-Cost: much"},
	} {
		text := strings.Replace(valid, change[0], change[1], 1)
		_, requestErr := DecodeRequest(clientRequest(t, text), goldenNames, false)
		if requestErr == nil {
			t.Errorf("request with %q for %q was accepted, want an error", change[1], change[0])
			continue
		}
		fmt.Fprintf(&got, "%.40q: %d %s\n", change[1], requestErr.Status, requestErr.Text)
	}
	checkGolden(t, "request_errors.golden", got.Bytes())
}

// TestGoldenResponses checks the responses to clients.
func TestGoldenResponses(t *testing.T) {
	for name, response := range map[string]*Response{
		"response_succeeded.golden":   {Status: http.StatusOK, Body: "result\n"},
		"response_retry_after.golden": {Status: http.StatusServiceUnavailable, RetryAfter: 1250 * time.Millisecond},
		"response_compensated.golden": {Status: http.StatusInternalServerError},
	} {
		w := httptest.NewRecorder()
		if err := response.Write(w); err != nil {
			t.Fatal(err)
		}
		var got bytes.Buffer
		if err := w.Result().Write(&got); err != nil {
			t.Fatal(err)
		}
		checkGolden(t, name, got.Bytes())
	}
}

// TestGoldenEndpointLists checks how endpoint lists are decoded.
func TestGoldenEndpointLists(t *testing.T) {
	for _, name := range []string{"endpoint_list_complete", "endpoint_list_changes"} {
		list, err := DecodeEndpointList(fixture(t, name+".json"), goldenNames)
		if err != nil {
			t.Fatal(err)
		}
		var got bytes.Buffer
		fmt.Fprintf(&got, "version %d, complete %t\n", list.Version, list.Complete)
		for _, endpoint := range list.Endpoints {
			fmt.Fprintf(&got, "id %q address %q state %d zone %d machine type %d cell %d started %d capacity %v\n",
				endpoint.ID, endpoint.Address, endpoint.State, endpoint.Zone, endpoint.MachineType, endpoint.Cell,
				endpoint.StartedAt, endpoint.Capacity)
		}
		checkGolden(t, name+".golden", got.Bytes())
	}
}

// TestGoldenLoadReports checks how load reports are decoded.
func TestGoldenLoadReports(t *testing.T) {
	keys := LoadReportKeys{FreeSlots: "x0", FreeMemory: "x1"}
	var got bytes.Buffer
	for _, name := range []string{"load_report.json", "load_report_pairs.txt"} {
		both, err := DecodeLoadReport(fixture(t, name), keys)
		fmt.Fprintf(&got, "%s: slots %v, memory %v, error %t\n", name, both.FreeSlots, both.FreeMemory, err != nil)
		slots, err := DecodeLoadReport(fixture(t, name), LoadReportKeys{FreeSlots: "x0"})
		unlimited := slots.FreeMemory == math.MaxFloat64
		fmt.Fprintf(&got, "%s: slots %v, memory unlimited %t, error %t\n",
			name, slots.FreeSlots, unlimited, err != nil)
	}
	checkGolden(t, "load_reports.golden", got.Bytes())
}

// TestGoldenServerUpdates checks how job updates are decoded.
func TestGoldenServerUpdates(t *testing.T) {
	updates := NewUpdateReader("9b1f", "x0", bytes.NewReader(fixture(t, "server_updates.jsonl")))
	var got bytes.Buffer
	for {
		update, err := updates.Next()
		if errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "state %d progress %v result %q free slots %v final %t\n",
			update.State, update.Progress, update.Result, update.FreeSlots, update.Final())
	}
	checkGolden(t, "server_updates.golden", got.Bytes())
}
