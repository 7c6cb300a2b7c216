// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"encoding/json"
	"strings"
	"testing"
)

// TestLoadReportsWithResults: free slots are read from the load report of an update. An invalid load report
// must not cause the loss of the result.
func TestLoadReportsWithResults(t *testing.T) {
	for load, want := range map[string]float64{
		`{"util":0.2,"x0":3.9}`: 3.9, `{"x0":-1}`: 0, `{"x0":1e9}`: 0, `{"x0":"4"}`: 0, `{}`: 0,
		`null`: 0, `[4]`: 0, `"x0"`: 0, `{"x1":4}`: 0} {
		line := `{"id":"j","state":"done","result":"a","load":` + load + "}"
		update, err := NewUpdateReader("j", "x0", strings.NewReader(line)).Next()
		if err != nil || update.Result != "a" || update.FreeSlots != want {
			t.Errorf("load report %s: got update %+v and error %v, want result a and %v free slots",
				load, update, err, want)
		}
	}
}

// TestServerUpdates: updates are read in order up to the end of the stream. Invalid updates are errors, and
// a server that never ends a line or the stream must not fill the memory of the node.
func TestServerUpdates(t *testing.T) {
	reader := NewUpdateReader("j", "x0", strings.NewReader(`{"id":"j","from":"s","state":"started"}`+"\n\n"+
		`{"id":"j","state":"running","share":0.4}`+"\n"+
		`{"id":"j","state":"done","result":"a\nb","load":{"util":"odd"}}`+"\n"))
	for _, want := range []JobUpdate{{State: Started}, {State: Running, Progress: 0.4},
		{State: Done, Result: "a\nb"}} {
		if got, err := reader.Next(); err != nil || got != want || got.Final() != (want.State == Done) {
			t.Errorf("got update %+v and error %v, want update %+v", got, err, want)
		}
	}
	if _, err := reader.Next(); err == nil {
		t.Error("got no error at the end of the stream")
	}
	for _, text := range []string{"", "done", `{"id":"j","state":"do`, `{"id":"k","state":"done","result":"x"}`,
		`{"id":"j","state":"odd"}`, `{"id":"j","state":"done"}`, `{"id":"j","state":"done","result":7}`,
		`{"id":"j","state":"running"}`, `{"id":"j","state":"running","share":-1}`, `[]`, `null`,
		`{"state":"done","result":"x"}`} {
		if got, err := NewUpdateReader("j", "x0", strings.NewReader(text)).Next(); err == nil {
			t.Errorf("invalid update %q: got %+v, want an error", text, got)
		}
	}
	if _, err := NewUpdateReader("j", "x0", endlessReader("x")).Next(); err == nil {
		t.Error("an endless line was accepted, want an error")
	}
	reader = NewUpdateReader("j", "x0", endlessReader(`{"id":"j","state":"started"}`+"\n"))
	for n := 0; ; n++ {
		if _, err := reader.Next(); err != nil {
			break
		} else if n > maxUpdateStreamBytes {
			t.Fatal("an endless stream of updates was accepted, want an error")
		}
	}
}

// endlessReader repeats its text without end.
type endlessReader string

func (e endlessReader) Read(b []byte) (int, error) {
	n := 0
	for n+len(e) <= len(b) {
		n += copy(b[n:], e)
	}
	return n, nil
}

// FuzzServerUpdate: if an update is accepted as done, its result is the one in the first line of the text.
func FuzzServerUpdate(f *testing.F) {
	f.Add(`{"id":"j","state":"done","result":"x"}`)
	f.Add(`{"id":"j","state":"running","share":1e999}`)
	f.Add("{\"id\":\"j\",\"state\":\"done\",\"result\":\"\xff\"}\x00")
	f.Fuzz(func(t *testing.T, text string) {
		update, err := NewUpdateReader("j", "x0", strings.NewReader(text)).Next()
		if err != nil || update.State != Done {
			return
		}
		first, _, _ := strings.Cut(strings.TrimSpace(text), "\n")
		var message map[string]any
		json.Unmarshal([]byte(first), &message)
		for key, value := range message {
			if strings.EqualFold(key, "result") && value == update.Result {
				return
			}
		}
		t.Errorf("text %q: got update %+v, want the result in its first line", text, update)
	})
}
