// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fernrail/dispatch"
)

var names = &Names{Zones: []string{"a", "b"}, MachineTypes: []string{"m1"}, Classes: []string{"render", "pay"},
	Tenants: []string{"acme", "globex"}}

const rawRequest = "POST /pay/x%2f<?obj=7f HTTP/1.1\r\nHost: h\r\nX-Call-Id: 9b1f\r\nX-Call-Class: pay\r\nX-Caller: globex\r\n" +
	"X-Budget-Ms: 480\r\nX-Call-Info: slots=2.5,new=1\r\nX-Call-Cost: 1500\r\nIdempotency-Key: k\r\nConnection: X-Odd\r\n" +
	"X-Odd: 1\r\nContent-Length: 4\r\n\r\nbody"

func readRequest(t *testing.T, text string) (*Request, *RequestError) {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		t.Fatal(err)
	}
	r.Body = http.MaxBytesReader(httptest.NewRecorder(), r.Body, MaxBodyBytes)
	return DecodeRequest(r, names, false)
}

func TestDecodeAndForwardRequest(t *testing.T) {
	q, fault := readRequest(t, rawRequest)
	if fault != nil {
		t.Fatal(fault)
	}
	if q.ID != "9b1f" || q.Target != "/pay/x%2f<?obj=7f" || q.Class != 1 || q.Tenant != 1 || q.Slots != 2.5 ||
		q.ExpectedWork != 1.5e6 || q.Timeout != 480*time.Millisecond || string(q.Body) != "body" {
		t.Errorf("%+v", q)
	}
	// Danger: a mark against repeats that stays behind, or a header of the client's connection that goes on.
	var text strings.Builder
	synctest.Test(t, func(t *testing.T) {
		job := &Attempt{Address: "10.0.0.1:7", Request: q, Deadline: time.Now().Add(500 * time.Millisecond)}
		out := job.Encode()
		time.Sleep(200 * time.Millisecond) // its connection comes up; what is told is what is left then
		if !job.TimeoutOverstated(time.Now()) {
			t.Error("it would go out as it was told before")
		}
		if job.SetTimeout(time.Now()); job.TimeoutOverstated(time.Now()) {
			t.Error("it would not go out")
		}
		out.Write(&text)
	})
	for _, want := range []string{"POST /pay/x%2f<?obj=7f HTTP/1.1\r\n", "X-Call-Id: 9b1f\r\n", "X-Budget-Ms: 300\r\n",
		"Idempotency-Key: k\r\n", "Content-Length: 4\r\n", "\r\n\r\nbody"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is missing in %q", want, text.String())
		}
	}
	if strings.Contains(text.String(), "X-Odd") || strings.Contains(text.String(), "User-Agent") {
		t.Error(text.String())
	}
}

func TestInvalidRequests(t *testing.T) {
	for _, c := range []struct {
		from, to string
		status   int
	}{
		{"POST", "GET", 405},
		{"X-Call-Id: 9b1f\r\n", "", 400},
		{"9b1f", "9b 1f", 400},
		{"9b1f", "9b\xff", 400},
		{"9b1f", "9b1f\r\nX-Call-Id: 9b1f", 400},
		{"/pay/x%2f", "/pay/\xff", 400},
		{"/pay/x%2f", "http://h/pay/", 400},
		{"X-Odd: 1", "X-Odd: \u00e9", 400},
		{"Class: pay", "Class: nope", 404},
		{"Class: pay", "Class: render", 404},
		{"/pay/x", "/-/pay", 404},
		{"globex", "nobody", 403},
		{"480", "soon", 400},
		{"480", "-3", 400},
		{"480", "99999999999999", 400},
		{"slots=2.5", "slots=many", 400},
		{"slots=2.5", "slots=-1", 400},
		{"slots=2.5", "slots=NaN", 400},
		{"Cost: 1500", "Cost: NaN", 400},
		{"Length: 4", "Length: 9", 400},
		{"Content-Length: 4", "Transfer-Encoding: chunked", 411},
		{"Length: 4", "Length: 4\r\nTransfer-Encoding: chunked", 411},
		{"Content-Length: 4", "X-Length: 4", 411},
		{"HTTP/1.1", "HTTP/1.0", 411},
		{"Length: 4\r\n\r\nbody", "Length: 65537\r\n\r\n" + strings.Repeat("x", MaxBodyBytes+1), 413},
	} {
		if _, fault := readRequest(t, strings.Replace(rawRequest, c.from, c.to, 1)); fault == nil || fault.Status != c.status {
			t.Errorf("%.40s: %+v, want %d", c.to, fault, c.status)
		}
	}
}

func TestRetryAfter(t *testing.T) {
	w := httptest.NewRecorder()
	(&Response{Status: 503, RetryAfter: 1500 * time.Millisecond}).Write(w)
	if w.Code != 503 || w.Header().Get("Retry-After") != "1.5" {
		t.Error(w)
	}
}

// TestLoadReportsWithResults: free slots are read where a report tells them; one that makes no sense costs nobody an answer.
func TestLoadReportsWithResults(t *testing.T) {
	for load, want := range map[string]float64{`{"util":0.2,"x0":3.9}`: 3.9, `{"x0":-1}`: 0, `{"x0":1e9}`: 0, `{"x0":"4"}`: 0, `{}`: 0,
		`null`: 0, `[4]`: 0, `"x0"`: 0, `{"x1":4}`: 0} {
		l, err := NewUpdateReader("j", "x0", strings.NewReader(`{"id":"j","state":"done","result":"a","load":`+load+"}")).Next()
		if err != nil || l.Result != "a" || l.FreeSlots != want {
			t.Errorf("%s: %+v %v, want %v", load, l, err, want)
		}
	}
}

func TestServerUpdates(t *testing.T) {
	l := NewUpdateReader("j", "x0", strings.NewReader(`{"id":"j","from":"s","state":"started"}`+"\n\n"+
		`{"id":"j","state":"running","share":0.4}`+"\n"+`{"id":"j","state":"done","result":"a\nb","load":{"util":"odd"}}`+"\n"))
	for _, want := range []JobUpdate{{State: Started}, {State: Running, Progress: 0.4}, {State: Done, Result: "a\nb"}} {
		if got, err := l.Next(); err != nil || got != want || got.Final() != (want.State == Done) {
			t.Errorf("%+v %v, want %+v", got, err, want)
		}
	}
	if _, err := l.Next(); err == nil {
		t.Error("no end")
	}
	for _, text := range []string{"", "done", `{"id":"j","state":"do`, `{"id":"k","state":"done","result":"x"}`,
		`{"id":"j","state":"odd"}`, `{"id":"j","state":"done"}`, `{"id":"j","state":"done","result":7}`,
		`{"id":"j","state":"running"}`, `{"id":"j","state":"running","share":-1}`, `[]`, `null`,
		`{"state":"done","result":"x"}`} {
		if got, err := NewUpdateReader("j", "x0", strings.NewReader(text)).Next(); err == nil {
			t.Errorf("%s gave %+v", text, got)
		}
	}
	// Danger: an executor that never ends a line, or never stops talking, takes the node's memory.
	if _, err := NewUpdateReader("j", "x0", endlessReader("x")).Next(); err == nil {
		t.Error("an endless line was read")
	}
	l = NewUpdateReader("j", "x0", endlessReader(`{"id":"j","state":"started"}`+"\n"))
	for n := 0; ; n++ {
		if _, err := l.Next(); err != nil {
			break
		} else if n > maxUpdateStreamBytes {
			t.Fatal("an endless answer was read")
		}
	}
}

type endlessReader string

func (e endlessReader) Read(b []byte) (int, error) {
	n := 0
	for n+len(e) <= len(b) {
		n += copy(b[n:], e)
	}
	return n, nil
}

func FuzzServerUpdate(f *testing.F) {
	f.Add(`{"id":"j","state":"done","result":"x"}`)
	f.Add(`{"id":"j","state":"running","share":1e999}`)
	f.Add("{\"id\":\"j\",\"state\":\"done\",\"result\":\"\xff\"}\x00")
	f.Fuzz(func(t *testing.T, text string) {
		l, err := NewUpdateReader("j", "x0", strings.NewReader(text)).Next()
		if err != nil || l.State != Done {
			return
		}
		first, _, _ := strings.Cut(strings.TrimSpace(text), "\n")
		var said map[string]any
		json.Unmarshal([]byte(first), &said)
		for key, value := range said {
			if strings.EqualFold(key, "result") && value == l.Result {
				return
			}
		}
		t.Errorf("%q gave %+v", text, l)
	})
}

func TestRejection(t *testing.T) {
	for _, c := range []struct {
		status int
		mark   string
		want   bool
	}{{503, "1", true}, {504, "1", true}, {503, "", false}, {500, "1", false}, {429, "1", false}, {200, "1", false}} {
		r := &http.Response{StatusCode: c.status, Header: http.Header{"X-Rejected": {c.mark}}}
		if IsRejection(r) != c.want {
			t.Errorf("%+v", c)
		}
	}
}

// TestBodyGoesOutOnce: a library that can wind a body back, or sees that there is none, sends again by itself.
func TestBodyGoesOutOnce(t *testing.T) {
	for _, body := range []string{"", "x"} {
		out := (&Attempt{Request: &Request{Target: "/p", Body: []byte(body), Header: http.Header{}}}).Encode()
		if out.GetBody != nil || out.Body == nil || out.Body == http.NoBody {
			t.Fatalf("%+v", out)
		}
		if _, canSeek := out.Body.(io.Seeker); canSeek {
			t.Error("the body can be wound back")
		}
	}
}

const rawList = `{"version":41,"full":true,"new":1,"servers":[
{"id":"s-1","addr":"10.0.0.1:7","zone":"b","kind":"m1","cell":3,"state":"Ready","weight":1.5,"started_ms":1700000000000},
{"id":"s-2","addr":"10.0.0.2:7","zone":"odd","kind":"odd","state":"Terminating"},{"id":"s-3","state":"Gone"}]}`

func TestEndpointList(t *testing.T) {
	l, err := DecodeEndpointList([]byte(rawList), names)
	if err != nil || l.Version != 41 || !l.Complete || len(l.Endpoints) != 3 {
		t.Fatal(l, err)
	}
	first := Endpoint{ID: "s-1", Address: "10.0.0.1:7", Zone: 1, Cell: 3, Started: 17e17, Capacity: 1.5}
	if l.Endpoints[0] != first || l.Endpoints[1].State != dispatch.Draining || l.Endpoints[1].Zone != -1 ||
		l.Endpoints[2].State != dispatch.Removed {
		t.Errorf("%+v", l.Endpoints)
	}
	for _, c := range [][2]string{{`"version":41,`, ""}, {`"full":true,`, ""}, {`"servers":[`, `"server":[`},
		{"Ready", "ready"}, {`"weight":1.5`, `"weight":-1`}, {`"weight":1.5`, `"weight":1e9`}, {`"id":"s-1",`, ""}, {"10.0.0.1:7", "nowhere"}, {"1700000000000", "-5"},
		{"1700000000000", "9223372036854775807"}, {"]}", "]"}, {`"cell":3`, `"cell":"x"`}} {
		if l, err := DecodeEndpointList([]byte(strings.Replace(rawList, c[0], c[1], 1)), names); err == nil {
			t.Errorf("%s for %s: %+v", c[1], c[0], l)
		}
	}
}

// TestLoadReport: an executor's room as probes bring it. Danger: noise tells of a little less than nothing, and what is absent or
// absurd must not look like room.
func TestLoadReport(t *testing.T) {
	both := LoadReportKeys{FreeSlots: "x0", FreeMemory: "x1"}
	for text, want := range map[string]LoadReport{
		`{"x0":2,"x1":1.5,"util":0.5}`: {2, 1.5}, `{"x0":-0.01,"x1":0}`: {0, 0}, "x0=3, x1=4,util=0.2": {3, 4},
	} {
		if l, err := DecodeLoadReport([]byte(text), both); err != nil || l != want {
			t.Errorf("%s: %+v %v", text, l, err)
		}
	}
	for _, text := range []string{"", "{}", `{"x0":2}`, `{"x0":1e99,"x1":1}`, `{"x0":"many","x1":1}`, "x0=NaN,x1=1", "<html>"} {
		if l, err := DecodeLoadReport([]byte(text), both); err == nil {
			t.Errorf("%s: %+v", text, l)
		}
	}
	if l, err := DecodeLoadReport([]byte(`{"x0":2}`), LoadReportKeys{FreeSlots: "x0"}); err != nil || l.FreeMemory < 1e9 {
		t.Errorf("memory that is not counted: %+v %v", l, err)
	}
}

// TestAffinityKeyAndMemory comes from the query alone, the same at every node; memory is refused where it is no number.
func TestAffinityKeyAndMemory(t *testing.T) {
	read := func(target, info string) (*Request, *RequestError) {
		r := httptest.NewRequest("POST", target, strings.NewReader("b"))
		for name, value := range map[string]string{"X-Call-Id": "1", "X-Call-Class": names.Classes[0], "X-Caller": names.Tenants[0],
			"X-Budget-Ms": "100", "Content-Length": "1", "X-Call-Info": info} {
			r.Header.Set(name, value)
		}
		return DecodeRequest(r, names, false)
	}
	about := "/" + names.Classes[0] + "?obj=7f3a"
	one, fault := read(about, "mem=0.5,slots=2")
	same, _ := read(about, "")
	other, _ := read(about+"1", "")
	none, _ := read("/"+names.Classes[0], "")
	if fault != nil || one.AffinityKey == 0 || one.AffinityKey >= 1<<53 || one.AffinityKey != same.AffinityKey || one.AffinityKey == other.AffinityKey || none.AffinityKey != 0 || one.Memory != 0.5 {
		t.Errorf("%+v %+v %+v %+v %+v", one, same, other, none, fault)
	}
	for _, info := range []string{"mem=", "mem=-1", "mem=NaN", "mem=much"} {
		if _, fault := read(about, info); fault == nil || fault.Status != 400 {
			t.Errorf("%s is taken", info)
		}
	}
}
