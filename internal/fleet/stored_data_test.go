// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fernrail/internal/config"
	"fernrail/internal/fleet/budget"
	"fernrail/internal/fleet/signals"
)

// The program of commit be9205f wrote the files under testdata. During an upgrade, a voter restarts with the
// data of the previous version and exchanges messages with voters of that version, so all of these files must
// stay readable.

// fixtureConfig returns the configuration of the voter that wrote the fixtures.
func fixtureConfig(address, dataDir string) *config.Fleet {
	return &config.Fleet{
		VoterListen:     address,
		Secret:          "only for tests",
		DataDir:         dataDir,
		Voters:          []config.Voter{{Name: "n0", Address: address}},
		ElectionTimeout: 200 * time.Millisecond,
		Agreement:       fixtureAgreement(),
	}
}

func fixtureAgreement() budget.Agreement {
	const window = int64(100 * time.Millisecond)
	return budget.Agreement{
		MaxNodes:    3,
		Lease:       int64(time.Second),
		ClockMargin: 0.1,
		Budgets: map[string]budget.Limits{
			"connect": {Total: 40, Floor: 2, Reserve: 5, Step: 1, Window: window},
			"again":   {Total: 20, Floor: 1, Step: 1, Window: window, FirstAttemptRatio: 0.1},
			"cold":    {Total: 1000, Floor: 20, Step: 20, Window: window, Partitions: 2},
		},
	}
}

func readFixture(t *testing.T, path ...string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(append([]string{"testdata"}, path...)...))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// checkFixture checks that a JSON fixture decodes to the wanted value, and that encoding this value gives the
// same bytes again.
func checkFixture[T any](t *testing.T, data []byte, want T) {
	t.Helper()
	var got T
	if err := json.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded value: got\n%+v\nwant\n%+v", got, want)
	}
	checkEncoding(t, got, data)
}

func checkEncoding(t *testing.T, value any, want []byte) {
	t.Helper()
	got, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if want = bytes.TrimSpace(want); !bytes.Equal(got, want) {
		t.Errorf("encoded value: got\n%s\nwant\n%s", got, want)
	}
}

// TestStoredLogEntries checks that stored raft log entries of each kind decode and encode unchanged.
func TestStoredLogEntries(t *testing.T) {
	agreement := fixtureAgreement()
	const clusterID = "9d967dad2543b775"
	for name, want := range map[string]budget.LogEntry{
		"new_term": {Epoch: 2, NewTerm: true, Agreement: &agreement, ClusterID: clusterID},
		"requests": {Epoch: 2, Requests: []budget.LeaseRequest{fixtureLeaseRequest()}},
		"expired":  {Epoch: 2, Expired: []budget.Expiry{{Holder: "0011223344556677", Seq: 2}}},
		"cooldown_over": {
			Epoch:                 2,
			ReleasedAfterCooldown: map[string]int64{"again": 0, "cold.0": 0, "cold.1": 0, "connect": 0},
		},
		"totals": {Epoch: 2, Totals: map[string]int64{"connect": 50}},
	} {
		t.Run(name, func(t *testing.T) {
			checkFixture(t, readFixture(t, "log_"+name+".json"), want)
		})
	}
}

// snapshotDir is the directory of the raft snapshot among the fixtures, of term 2 and log index 25.
var snapshotDir = filepath.Join("voter", "snapshots", "2-25-1796292332258")

// TestStoredSnapshot checks that the state machine restores a stored snapshot and writes the same bytes
// again.
func TestStoredSnapshot(t *testing.T) {
	data := readFixture(t, snapshotDir, "state.bin")
	state := &stateMachine{}
	if err := state.Restore(io.NopCloser(bytes.NewReader(data))); err != nil {
		t.Fatal(err)
	}
	want := &budget.Ledger{
		Agreement: fixtureAgreement(),
		ClusterID: "9d967dad2543b775",
		Epoch:     2,
		Budgets: map[string]*budget.Account{
			"again":  {MaxTotal: 20, Total: 4, CoolingDown: map[int64]int64{}},
			"cold.0": {MaxTotal: 1000, Total: 1000, CoolingDown: map[int64]int64{}, LatestCooldown: 1},
			"cold.1": {MaxTotal: 1000, Total: 1000, CoolingDown: map[int64]int64{}},
			"connect": {MaxTotal: 50, Total: 50, Granted: 5, CoolingDown: map[int64]int64{},
				LatestCooldown: 2},
		},
		Holders: map[string]*budget.Lease{
			"ffeeddccbbaa9988": {
				Node:   "n0",
				Seq:    13,
				Units:  map[string]int64{"connect": 2},
				Demand: map[string]int64{"connect": 2},
			},
			"8899aabbccddeeff": {
				Node:          "n2",
				Seq:           1,
				FirstAttempts: 40,
				Units:         map[string]int64{"connect": 3},
				Demand:        map[string]int64{"connect": 3},
			},
		},
	}
	if !reflect.DeepEqual(state.ledger, want) {
		t.Errorf("restored ledger: got\n%+v\nwant\n%+v", state.ledger, want)
	}
	snapshot, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if got := []byte(snapshot.(ledgerSnapshot)); !bytes.Equal(got, data) {
		t.Errorf("written snapshot: got\n%s\nwant\n%s", got, data)
	}
}

// restoreVoterDir copies the voter's data directory from the fixtures to a temporary directory and returns
// its path.
func restoreVoterDir(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(filepath.Join(dir, "snapshots"), os.DirFS("testdata/voter/snapshots")); err != nil {
		t.Fatal(err)
	}
	packed, err := gzip.NewReader(bytes.NewReader(readFixture(t, "voter", "seat.db.gz")))
	if err != nil {
		t.Fatal(err)
	}
	store, err := io.ReadAll(packed)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "seat.db"), store, 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// TestStoredVoter checks that a voter starts with the data directory of the previous version. It must keep
// its id, and its ledger must contain the state of the snapshot and of the later log entry.
func TestStoredVoter(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := fixtureConfig(listener.Addr().String(), restoreVoterDir(t))
	frozen := func() int64 { return 1 } // no lease expires during the test
	v, err := startVoter(t.Context(), listener, voterConfig{
		name:   "n0",
		fleet:  cfg,
		clock:  frozen,
		client: newVoterClient(cfg),
		log:    zerolog.Nop(),
	})
	if err != nil {
		listener.Close()
		t.Fatal(err)
	}
	defer v.close()
	for deadline := time.Now().Add(10 * time.Second); !v.isServing(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the only voter of its cluster did not become leader within 10 s")
		}
	}
	status := v.status()
	if want := "n0/dab0d43402211e7d"; status.ID != want || !reflect.DeepEqual(status.Voters, []string{want}) {
		t.Errorf("got voter id %q and voters %q, want only %q", status.ID, status.Voters, want)
	}
	if status.Epoch <= 2 {
		t.Errorf("epoch: got %d, want more than 2, the epoch of the stored leader term", status.Epoch)
	}
	wantHolders := []HolderStatus{
		{Node: "n0", Units: map[string]int64{"connect": 2}, Demand: map[string]int64{"connect": 2}},
		{Node: "n2", Units: map[string]int64{"connect": 4}, Demand: map[string]int64{"connect": 4}},
	}
	if !reflect.DeepEqual(status.Holders, wantHolders) {
		t.Errorf("holders: got %+v, want %+v", status.Holders, wantHolders)
	}
	wantConnect := LedgerStatus{Total: 50, Floors: 6, Granted: 6, CoolingDown: 2, Free: 36}
	if got := status.Budgets["connect"]; got != wantConnect {
		t.Errorf("budget connect: got %+v, want %+v", got, wantConnect)
	}
}

// TestStoredGossipReport checks that a stored gossip report of another node is merged, except for the
// unlisted server.
func TestStoredGossipReport(t *testing.T) {
	data := readFixture(t, "gossip_report.json")
	checkFixture(t, data, signals.Report{
		Node:        "n1",
		Zone:        "home",
		Incarnation: 1764754800000000000,
		Seq:         1,
		Outcomes: map[string]signals.OutcomeCount{
			"x1": {Attempts: 1.3, Failures: 1.3},
			"x2": {Attempts: 1.3, Failures: 1},
		},
	})
	cfg := fixtureConfig("127.0.0.1:0", "")
	cfg.WitnessQuorum = 2
	f := &Fleet{gossip: newGossipState("n0", cfg, func() int64 { return 1 })}
	f.gossip.listed = func(server string) bool { return server == "x1" }
	f.reportHandler()(data)
	if got := f.gossip.tracker.RejectedReports; got != 1 {
		t.Errorf("rejected %d servers of the report, want 1, the unlisted one", got)
	}
}

// TestStoredAdminStatus checks that a stored reply to the admin command `fleet` decodes and encodes
// unchanged.
func TestStoredAdminStatus(t *testing.T) {
	data := readFixture(t, "admin_fleet.json")
	var status Status
	if err := json.Unmarshal(data, &status); err != nil {
		t.Fatal(err)
	}
	checkEncoding(t, status, data)
	if status.Epoch != 2 || status.LeaseMillis != 2255 || len(status.Budgets) != 5 {
		t.Errorf("got epoch %d, lease of %d ms and %d budgets, want epoch 2, 2255 ms and 5 budgets",
			status.Epoch, status.LeaseMillis, len(status.Budgets))
	}
	wantPolls := BudgetStatus{Total: 12, Floor: 1, Quota: 1, Used: 1, Demand: 0.5120000000000001, Sent: 3}
	if got := status.Budgets[config.BudgetPolls]; got != wantPolls {
		t.Errorf("budget of polls: got %+v, want %+v", got, wantPolls)
	}
	wantMembers := []MemberStatus{{Name: "n0", Address: "127.0.0.1:17300", State: "alive"}}
	if !reflect.DeepEqual(status.Members, wantMembers) {
		t.Errorf("members: got %+v, want %+v", status.Members, wantMembers)
	}
	if v := status.Voter; v == nil || !v.IsLeader || v.Leader != "n0" || v.State != "leader" ||
		len(v.Budgets) != 5 {
		t.Errorf("voter: got %+v, want leader n0 in state leader with 5 budgets", v)
	}
}
