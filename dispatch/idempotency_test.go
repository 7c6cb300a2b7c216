// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// TestRetryStaysInDedupGroup checks that a retry goes to the cell of the first attempt, and that after the
// deduplication window the request is compensated without a further attempt.
func TestRetryStaysInDedupGroup(t *testing.T) {
	w := newHarness(t, 1, testSettings())
	w.addServers(4, false)
	request := w.arrive(1, 1, 1e8, 9e9)
	w.endAttempt(w.inFlight[0], ConnectionLost)
	if len(request.Attempts) != 2 || request.Attempts[0].Server.cell != request.Attempts[1].Server.cell {
		t.Fatalf("retry after a lost connection: got %d attempts, want 2 in the same cell",
			len(request.Attempts))
	}
	w.advance(w.settings.Classes[1].DedupWindow)
	for len(w.inFlight) > 0 {
		w.endAttempt(w.inFlight[0], ConnectionLost)
	}
	if !request.Done || w.finalAnswers[request] != 1 {
		t.Fatalf("after its deduplication window: done is %v, want true; got %d final answers, want 1",
			request.Done, w.finalAnswers[request])
	}
}

// TestDedupGroupIsThatOfTheSend checks servers that the endpoint list moves to another cell. The cell that
// remembers a request is the one in which its first attempt was sent: a retry must not go to the server's new
// cell, and an attempt whose server is moved before its first byte must not be sent.
func TestDedupGroupIsThatOfTheSend(t *testing.T) {
	moveServer := func(w *harness, server *Server) {
		for _, m := range w.endpoints {
			if m.Server == server {
				m.Cell = 1 - m.Cell
			}
		}
		w.updateEndpoints(false)
	}
	start := func() (w *harness, request *Request) {
		w = newHarness(t, 1, testSettings())
		w.addServers(4, false)
		return w, w.arrive(1, 1, 1e8, 9e9)
	}
	w, request := start()
	first := w.inFlight[0]
	cell := first.Server.cell
	moveServer(w, first.Server)
	if w.d.MaySend(first) {
		t.Error("MaySend permits an attempt whose server was moved to another cell after the decision")
	}
	w.endAttempt(first, ConnectionLost)
	for _, retry := range request.Attempts[1:] {
		if retry.Server.cell != cell {
			t.Errorf("retry in cell %d, want %d, in which the first attempt was sent", retry.Server.cell, cell)
		}
	}
	w, request = start()
	w.endAttempt(w.inFlight[0], ConnectionLost)
	retry := request.Attempts[1]
	if !w.d.MaySend(retry) {
		t.Error("MaySend denies a retry in the cell of the first attempt")
	}
	if moveServer(w, retry.Server); w.d.MaySend(retry) {
		t.Error("MaySend permits a retry whose server was moved to another cell after the decision")
	}
}
