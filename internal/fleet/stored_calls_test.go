// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"

	"fernrail/internal/fleet/budget"
)

// fixtureLeaseRequest is the request in lease_request.http and log_requests.json.
func fixtureLeaseRequest() budget.LeaseRequest {
	return budget.LeaseRequest{
		Node:          "n1",
		Holder:        "0011223344556677",
		Seq:           2,
		MaxUnits:      map[string]int64{"connect": 7, "cold.0": 100},
		Demand:        map[string]int64{"connect": 12, "cold.0": 100},
		FirstAttempts: 130,
		HasLease:      true,
		Epoch:         2,
		ClockRate:     1.25,
	}
}

// recordedRequest returns the recorded request of a call and its body.
func recordedRequest(t *testing.T, name string) (*http.Request, []byte) {
	t.Helper()
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(readFixture(t, name+"_request.http"))))
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		t.Fatal(err)
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	return request, body
}

// replayTransport is an HTTP transport that answers a call with a recorded response. It checks that the call
// equals the recorded request.
type replayTransport struct {
	t    *testing.T
	name string
}

func (r replayTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	r.t.Helper()
	want, wantBody := recordedRequest(r.t, r.name)
	if request.Method != want.Method || request.URL.Path != want.URL.Path {
		r.t.Errorf("call: got %s %s, want %s %s",
			request.Method, request.URL.Path, want.Method, want.URL.Path)
	}
	for _, header := range []string{"X-Fernrail-Fleet", "X-Fernrail-Pact"} {
		if got := request.Header.Get(header); got == "" || got != want.Header.Get(header) {
			r.t.Errorf("header %s: got %q, want %q", header, got, want.Header.Get(header))
		}
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(body, wantBody) {
		r.t.Errorf("body of the call: got\n%s\nwant\n%s", body, wantBody)
	}
	return http.ReadResponse(
		bufio.NewReader(bytes.NewReader(readFixture(r.t, r.name+"_response.http"))), request)
}

// newReplayingClient returns a client that is connected to a replayTransport.
func newReplayingClient(t *testing.T, name string) *voterClient {
	t.Helper()
	client := newVoterClient(fixtureConfig("127.0.0.1:1", ""))
	client.client.Transport = replayTransport{t, name}
	return client
}

// checkRequest checks that the voter's decoder reads the wanted request from a recorded call.
func checkRequest[T any](t *testing.T, name string, want T) {
	t.Helper()
	request, _ := recordedRequest(t, name)
	var got T
	out := httptest.NewRecorder()
	if !decodeRequest(out, request, &got) {
		t.Fatalf("the recorded call was rejected: %s", out.Body)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded request: got %+v, want %+v", got, want)
	}
}

// TestStoredLeaseCall checks that a lease request and its response are compatible with a voter of the
// previous version.
func TestStoredLeaseCall(t *testing.T) {
	request := fixtureLeaseRequest()
	checkRequest(t, "lease", request)
	response, voter, err := newReplayingClient(t, "lease").requestLease(context.Background(), 0, &request)
	if err != nil || voter != 0 {
		t.Fatalf("next voter: got %d and error %v, want 0 and no error", voter, err)
	}
	want := &budget.LeaseResponse{
		ClusterID:     "9d967dad2543b775",
		Epoch:         2,
		Seq:           2,
		Lease:         1_000_000_000,
		Units:         map[string]int64{"cold.0": 100, "connect": 12},
		Target:        map[string]int64{"cold.0": 100, "connect": 12},
		Totals:        map[string]int64{"again": 13, "cold.0": 1000, "cold.1": 1000, "connect": 40},
		ActiveHolders: 2,
		LeaderTime:    1118992194270,
	}
	if !reflect.DeepEqual(response, want) {
		t.Errorf("response: got %+v, want %+v", response, want)
	}
	checkEncoding(t, response, recordedResponseBody(t, "lease"))
}

// recordedResponseBody returns the body of the recorded response to a call.
func recordedResponseBody(t *testing.T, name string) []byte {
	t.Helper()
	response, err := http.ReadResponse(
		bufio.NewReader(bytes.NewReader(readFixture(t, name+"_response.http"))), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// TestStoredStatusCall checks that the status call is compatible with a voter of the previous version.
func TestStoredStatusCall(t *testing.T) {
	request := voterIdentity{Name: "n1", ID: "n1/0123456789abcdef", Blank: true}
	checkRequest(t, "status", request)
	var response voterIdentity
	client := newReplayingClient(t, "status")
	if err := client.post(context.Background(), "127.0.0.1:1", statusPath, &request, &response); err != nil {
		t.Fatal(err)
	}
	if want := (voterIdentity{Name: "n0", ID: "n0/dab0d43402211e7d"}); response != want {
		t.Errorf("response: got %+v, want %+v", response, want)
	}
	checkEncoding(t, response, recordedResponseBody(t, "status"))
}

// TestStoredSetTotalCall checks that an operator's change of a total is compatible with a voter of the
// previous version.
func TestStoredSetTotalCall(t *testing.T) {
	totals := map[string]int64{"connect": 50}
	checkRequest(t, "set_total", totals)
	var response map[string]int64
	client := newReplayingClient(t, "set_total")
	if err := client.post(context.Background(), "127.0.0.1:1", setTotalPath, totals, &response); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(response, totals) {
		t.Errorf("response: got %v, want %v", response, totals)
	}
}
