// SPDX-License-Identifier: Apache-2.0

// Package testcluster is for tests: it starts several real processes of the program with stand-ins for executors, discovery and
// clients on loopback, puts a relay between each pair of them, plays faults between and on them, and counts on one clock
// what arrives at the stand-ins. It knows nothing of what goes on inside a process.
package testcluster

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Cluster is one fleet of processes and all round it.
type Cluster struct {
	testing.TB
	Servers   []*StandInServer
	Nodes     []*Node
	plan      Plan
	created   time.Time
	discovery net.Listener
	client    *http.Client

	mu            sync.Mutex
	version       int64            // of the list
	changed       chan struct{}    // closed with the next version
	drained       map[string]bool  // executors
	changedIn     map[string]int64 // the version with which each executor last changed; absent: it never did
	discoveryDown bool             // discovery answers that it can't
	polls         []int64          // when it was asked
}

// Plan is what a fleet is like.
type Plan struct {
	Program        []string       // the program and its arguments
	Env            []string       // for each process, beside the rig's own
	Nodes          int            // that may be started
	Voters         int            // of these, the first
	Servers        int            // stand-ins
	Settings       map[string]any // of the platform, as in a node's file
	Fleet          map[string]any // the fleet section, but for listen, seats and dir; nil: none
	Disk           bool           // seats have a directory
	Gossip         bool           // nodes hear of each other, by relays for datagrams and streams between each pair
	ServeTime      time.Duration  // of an executor
	JobCost        time.Duration  // that clients say each job takes; 0: they say nothing
	ServersStarted time.Time      // of the executors, as discovery tells it; zero: long ago
	Cores          float64        // share of a core that each process is told of and held to; 0: neither
	Sockets        int            // descriptors that each process is told of; 0: 400
	Quiet          bool           // processes log nothing below warnings
	StartNotices   bool           // executors tell of each job's start
}

// New makes the stand-ins. Nothing is started yet. All of it ends with the test.
func New(t testing.TB, plan Plan) *Cluster {
	r := &Cluster{TB: t, plan: plan, created: time.Now(), version: 1, changed: make(chan struct{}), drained: map[string]bool{}, changedIn: map[string]int64{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	t.Cleanup(r.client.CloseIdleConnections)
	for i := range plan.Servers {
		r.Servers = append(r.Servers, newStandInServer(r, fmt.Sprint("e", i)))
	}
	r.discovery = r.listen()
	discovery := &http.Server{Handler: http.HandlerFunc(r.serveDiscovery)}
	go discovery.Serve(r.discovery)
	t.Cleanup(func() { discovery.Close() })
	for i := range plan.Nodes {
		r.Nodes = append(r.Nodes, r.newNode(i))
	}
	for i, n := range r.Nodes {
		for j := range plan.Nodes {
			if plan.Gossip && j != i {
				n.gossipRelays = append(n.gossipRelays, newRelay(t, r.unusedAddress, r.Nodes[j].gossipAddress))
			} else {
				n.gossipRelays = append(n.gossipRelays, nil)
			}
		}
		for j := range plan.Voters {
			if j != i {
				n.voterRelays = append(n.voterRelays, newRelay(t, func() string { return "127.0.0.1:0" }, r.Nodes[j].VoterAddress))
			} else {
				n.voterRelays = append(n.voterRelays, nil)
			}
		}
	}
	return r
}

// Now is the rig's one clock: nanoseconds since it was made.
func (r *Cluster) Now() int64 { return int64(time.Since(r.created)) }

func (r *Cluster) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.Fatal(err)
	}
	return l
}

// ports that the kernel gives to no outgoing connection, which would take one between its choice and its use.
const firstTestPort, lastTestPort = 14000, 32000

var portAllocator = struct {
	sync.Mutex
	port int
}{port: firstTestPort + os.Getpid()*37%(lastTestPort-firstTestPort)}

// unusedAddress is an address that nobody listens at, and that is given once.
func (r *Cluster) unusedAddress() string {
	portAllocator.Lock()
	defer portAllocator.Unlock()
	for range lastTestPort - firstTestPort {
		if portAllocator.port++; portAllocator.port >= lastTestPort {
			portAllocator.port = firstTestPort
		}
		address := fmt.Sprint("127.0.0.1:", portAllocator.port)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	r.Fatal("no port is free")
	return ""
}

// StandInServer is a stand-in that does what it is told at once and notes all that arrives.
type StandInServer struct {
	Name    string
	address string
	cluster *Cluster

	mu           sync.Mutex
	breaksJobsOf func(node string) bool // whose jobs break off; nil: nobody's
	accepted     []int64                // when connections were accepted
	jobs         []Job
}

// Job is one posting as it arrived.
type Job struct {
	ArrivedAt int64
	ID        string
	Cost      time.Duration // as its client told it
	Tenant    string        // the tenant
	EndedAt   int64         // when it was done, answered or not; 0: it is not
}

// MaxConcurrentJobs jobs of one tenant that were out at any moment, at all stand-ins together.
func (r *Cluster) MaxConcurrentJobs(tenant string) (most int) {
	type step struct {
		at int64
		by int
	}
	var steps []step
	for _, e := range r.Servers {
		_, jobs := e.Received()
		for _, j := range jobs {
			if j.Tenant == tenant {
				steps = append(steps, step{j.ArrivedAt, 1}, step{cmp.Or(j.EndedAt, r.Now()), -1})
			}
		}
	}
	// Of one moment those that end come first.
	slices.SortFunc(steps, func(a, b step) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.by, b.by)) })
	out := 0
	for _, s := range steps {
		out += s.by
		most = max(most, out)
	}
	return most
}

func newStandInServer(r *Cluster, name string) *StandInServer {
	l := r.listen()
	e := &StandInServer{Name: name, address: l.Addr().String(), cluster: r}
	s := &http.Server{Handler: e}
	go s.Serve(&recordingListener{l, e})
	r.Cleanup(func() { s.Close() })
	return e
}

type recordingListener struct {
	net.Listener
	server *StandInServer
}

func (n *recordingListener) Accept() (net.Conn, error) {
	c, err := n.Listener.Accept()
	if err == nil {
		n.server.mu.Lock()
		n.server.accepted = append(n.server.accepted, n.server.cluster.Now())
		n.server.mu.Unlock()
	}
	return c, err
}

// ServeHTTP does a job. A request that asks for it in its target fails or is turned away.
func (e *StandInServer) ServeHTTP(out http.ResponseWriter, q *http.Request) {
	at, id := e.cluster.Now(), q.Header.Get("X-Call-Id")
	if _, err := io.ReadAll(q.Body); err != nil {
		return
	}
	e.mu.Lock()
	cost, _ := strconv.ParseInt(q.Header.Get("X-Call-Cost"), 10, 64)
	job := len(e.jobs)
	shunned := e.breaksJobsOf != nil && e.breaksJobsOf(SenderNode(id))
	e.jobs = append(e.jobs, Job{ArrivedAt: at, ID: id, Cost: time.Duration(cost) * time.Microsecond, Tenant: q.Header.Get("X-Caller")})
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.jobs[job].EndedAt = e.cluster.Now()
	}()
	if shunned {
		panic(http.ErrAbortHandler)
	}
	if q.URL.Query().Get("full") != "" {
		out.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if q.URL.Query().Get("close") != "" {
		out.Header().Set("Connection", "close")
	}
	if e.cluster.plan.StartNotices {
		fmt.Fprintf(out, `{"id":%q,"from":%q,"state":"started"}`+"\n", id, e.Name)
		http.NewResponseController(out).Flush()
	}
	// It works on, whoever has gone.
	slow, _ := time.ParseDuration(q.URL.Query().Get("slow"))
	time.Sleep(e.cluster.plan.ServeTime + slow)
	fmt.Fprintf(out, `{"id":%q,"from":%q,"state":"done","result":"r"}`+"\n", id, e.Name)
}

// BreakJobsOf has the jobs of some nodes break off, as on links that are bad; nil: of none.
func (e *StandInServer) BreakJobsOf(whose func(node string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breaksJobsOf = whose
}

// SenderNode is the node that a job of Load went through, by its id.
func SenderNode(id string) string {
	if parts := strings.Split(id, "-"); len(parts) > 1 {
		return parts[1]
	}
	return ""
}

// Received gives what has arrived so far.
func (e *StandInServer) Received() (accepted []int64, jobs []Job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]int64(nil), e.accepted...), append([]Job(nil), e.jobs...)
}

// MaxInWindow is the most of these moments that lie within any window of that length.
func MaxInWindow(at []int64, window time.Duration) (most int) {
	for from, to := 0, 0; to < len(at); to++ {
		for at[to]-at[from] >= int64(window) {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// endpointList is the list; after is the version that whoever asks has, from which on changes count. Under mu.
func (r *Cluster) endpointList(after int64) map[string]any {
	servers := []map[string]any{}
	started := int64(0)
	if !r.plan.ServersStarted.IsZero() {
		started = r.plan.ServersStarted.UnixMilli()
	}
	for _, e := range r.Servers {
		if after > 0 && r.changedIn[e.Name] <= after {
			continue
		}
		state := "Ready"
		if r.drained[e.Name] {
			state = "Terminating"
		}
		servers = append(servers, map[string]any{"id": e.Name, "addr": e.address, "zone": "a", "kind": "m", "state": state, "weight": 1, "started_ms": started})
	}
	return map[string]any{"version": r.version, "full": true, "servers": servers}
}

func (r *Cluster) serveDiscovery(out http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.polls = append(r.polls, r.Now()); r.discoveryDown {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	since := q.URL.Query().Get("since")
	after, _ := strconv.ParseInt(since, 10, 64)
	list := r.endpointList(after)
	if since != "" {
		list["full"] = false
	}
	if since == fmt.Sprint(r.version) {
		wait, _ := time.ParseDuration(q.URL.Query().Get("timeout_ms") + "ms")
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-time.After(wait):
		case <-changed:
		case <-q.Context().Done():
		}
		if r.mu.Lock(); r.version == list["version"] {
			list["servers"] = []any{}
		} else {
			list = r.endpointList(after)
			list["full"] = false
		}
	}
	json.NewEncoder(out).Encode(list)
}

// UpdateEndpoints has discovery tell all who wait of a next version; change is made before it, under the list's lock.
func (r *Cluster) UpdateEndpoints(change func(drained map[string]bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := maps.Clone(r.drained)
	change(r.drained)
	r.version++
	for _, e := range r.Servers {
		if r.drained[e.Name] != was[e.Name] {
			r.changedIn[e.Name] = r.version
		}
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// SetDiscoveryDown has discovery answer that it can't, or serve again.
func (r *Cluster) SetDiscoveryDown(yes bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discoveryDown = yes
}

// Polls for the list so far.
func (r *Cluster) Polls() []int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.polls)
}

// Node is one node's place: its addresses stay when its process is started anew.
type Node struct {
	cluster             *Cluster
	Index               int
	socket              *os.File // of clients, inherited by each process of the node
	Name, Listen, Admin string
	VoterAddress        string // of its seat; empty: it has none
	dir                 string
	voterRelays         []*Relay                   // to the seats; nil: itself
	gossipAddress       string                     // where it hears of others
	gossipRelays        []*Relay                   // to each other node\'s such address
	Env                 []string                   // for its next start
	ChangeFleet         func(fleet map[string]any) // of its own fleet section; nil: none
	pauses              chan time.Duration         // for which its process is to stand still
	VoterDir            string                     // its seat's directory; a part of its own unless told

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	logFile *os.File
	logPath string
}

func (r *Cluster) newNode(i int) *Node {
	n := &Node{cluster: r, Index: i, Name: fmt.Sprint("n", i), Admin: r.unusedAddress(), dir: r.TempDir(), pauses: make(chan time.Duration, 1)}
	l := r.listen()
	defer l.Close()
	var err error
	if n.socket, err = l.(*net.TCPListener).File(); err != nil {
		r.Fatal(err)
	}
	n.Listen = l.Addr().String()
	r.Cleanup(func() { n.socket.Close() })
	if i < r.plan.Voters {
		n.VoterAddress = r.unusedAddress()
	}
	if r.plan.Gossip {
		n.gossipAddress = r.unusedAddress()
	}
	r.Cleanup(n.Kill)
	return n
}

// processLimits are what each process is told.
func (r *Cluster) processLimits() map[string]any {
	told := map[string]any{"sockets": cmp.Or(r.plan.Sockets, 400)}
	if r.plan.Cores > 0 {
		told["cores"] = r.plan.Cores
	}
	return told
}

// configuration is the node's file. Each node calls the seats through relays of its own.
func (n *Node) configuration() []byte {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	file := map[string]any{"name": n.Name, "listen": n.Listen, "admin_addr": n.Admin, "discovery": n.cluster.discovery.Addr().String(),
		"seed": fmt.Sprint(n.Index + 1), "limits": n.cluster.processLimits(), "known": n.cluster.endpointList(0), "settings": n.cluster.plan.Settings}
	if n.cluster.plan.Fleet != nil {
		section := map[string]any{}
		for key, value := range n.cluster.plan.Fleet {
			section[key] = value
		}
		var seats []map[string]any
		for i := range n.cluster.plan.Voters {
			address := n.VoterAddress
			if i != n.Index {
				address = n.voterRelays[i].Address
			}
			seats = append(seats, map[string]any{"name": n.cluster.Nodes[i].Name, "address": address})
		}
		if section["seats"] = seats; n.VoterAddress != "" {
			section["listen"] = n.VoterAddress
			if n.cluster.plan.Disk {
				section["dir"] = cmp.Or(n.VoterDir, filepath.Join(n.dir, "seat"))
			}
		}
		if n.cluster.plan.Gossip {
			routes := map[string]any{}
			for j, relay := range n.gossipRelays {
				if relay != nil {
					routes[n.cluster.Nodes[j].gossipAddress] = relay.Address
				}
			}
			section["gossip"], section["join"], section["routes"] = n.gossipAddress, []string{n.cluster.Nodes[0].gossipAddress, n.cluster.Nodes[1].gossipAddress}, routes
		}
		if n.ChangeFleet != nil {
			n.ChangeFleet(section)
		}
		file["fleet"] = section
	}
	text, err := json.MarshalIndent(file, "", " ")
	if err != nil {
		n.cluster.Fatal(err)
	}
	return text
}

// processStarts are processes to be started. All are by one thread that lives as long as this process.
var processStarts = sync.OnceValue(func() chan func() {
	all := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range all {
			start()
		}
	}()
	return all
})

// startProcess starts a process that the kernel ends when this one ends, however it does.
// Danger: a test that is killed, or runs out of time, leaves fleets behind that take ports and processor time from the next.
func startProcess(p *exec.Cmd) (err error) {
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // sent at the end of the thread that started it
	done := make(chan struct{})
	processStarts() <- func() {
		err = p.Start()
		close(done)
	}
	<-done
	return err
}

// logLevel is the least that processes log.
func (r *Cluster) logLevel() string {
	if r.plan.Quiet {
		return "warn"
	}
	return "info"
}

// Start starts the node's process. It does not wait until it serves.
func (n *Node) Start() {
	n.cluster.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	path := filepath.Join(n.dir, "config.json")
	if err := os.WriteFile(path, n.configuration(), 0o600); err != nil {
		n.cluster.Fatal(err)
	}
	n.logPath = filepath.Join(n.dir, "log")
	out, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.cluster.Fatal(err)
	}
	p := exec.Command(n.cluster.plan.Program[0], n.cluster.plan.Program[1:]...)
	p.Env = append(append(append(os.Environ(), n.cluster.plan.Env...), n.Env...), "EDGE_CONFIG="+path, "EDGE_LOG="+n.cluster.logLevel(), "TMPDIR="+n.dir, "EDGE_LISTEN_FD=3")
	p.ExtraFiles = []*os.File{n.socket}
	p.Stdout, p.Stderr = out, out
	if err := startProcess(p); err != nil {
		n.cluster.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		p.Wait()
		out.Close()
		close(ended)
	}()
	if share := n.cluster.plan.Cores; share > 0 {
		go limitProcessor(p.Process, share, n.pauses, ended)
	}
	n.process, n.exited, n.logFile = p, ended, out
}

// Upgrade starts a second process on the node's socket, and tells the first to end once that serves.
func (n *Node) Upgrade() {
	n.cluster.Helper()
	n.mu.Lock()
	old, ended := n.process, n.exited
	n.mu.Unlock()
	// Danger: a test that ends before the second process serves; the first is nobody's by then, and stays for good.
	n.cluster.Cleanup(func() { old.Process.Kill() })
	lines := strings.Count(n.Log(), `"node serves"`)
	n.Admin = n.cluster.unusedAddress() // the first one's is still its own
	n.Start()
	n.cluster.Until("the second process serves", 20*time.Second, func() bool { return strings.Count(n.Log(), `"node serves"`) > lines })
	old.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(8 * time.Second):
		old.Process.Kill()
		n.cluster.Errorf("the first process of %s does not end", n.Name)
	}
}

// Signal sends one to the process, if there is one.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.process.Process.Signal(s)
	}
}

// Kill ends the process at once, stopped or not, and waits for its end.
func (n *Node) Kill() { n.endProcess(syscall.SIGKILL) }

// Terminate tells the process to end, and waits for it.
func (n *Node) Terminate() { n.endProcess(syscall.SIGTERM) }

func (n *Node) endProcess(by syscall.Signal) {
	n.mu.Lock()
	p, ended := n.process, n.exited
	n.process = nil
	n.mu.Unlock()
	if p == nil {
		return
	}
	p.Process.Signal(by)
	select {
	case <-ended:
	case <-time.After(8 * time.Second):
		p.Process.Kill()
		<-ended
		n.cluster.Errorf("%s did not end", n.Name)
	}
}

// LoseDisk loses what the node has on disk. Its process must have ended.
func (n *Node) LoseDisk() {
	if err := os.RemoveAll(filepath.Join(n.dir, "seat")); err != nil {
		n.cluster.Error(err)
	}
}

// Running says whether the node has a process that has not ended.
func (n *Node) Running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// Log is what the node's processes have told.
func (n *Node) Log() string {
	text, _ := os.ReadFile(filepath.Join(n.dir, "log"))
	return string(text)
}

// AdminCall makes an operators' call; empty: it was not answered.
func (n *Node) AdminCall(line string) string {
	c, err := net.DialTimeout("tcp", n.Admin, time.Second)
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	io.WriteString(c, line+"\n")
	answer, _ := io.ReadAll(c)
	return string(answer)
}

// AdminQuery makes an operators' call that is answered in JSON.
func (n *Node) AdminQuery(line string, out any) error {
	text, whole := strings.CutSuffix(n.AdminCall(line), "END\n")
	if !whole {
		return errors.New("no answer: " + text)
	}
	return json.Unmarshal([]byte(text), out)
}

// Until waits for something that the rig can see, looking many times a second.
func (r *Cluster) Until(what string, within time.Duration, is func() bool) time.Duration {
	r.Helper()
	began := time.Now()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !is() {
		if <-tick.C; time.Since(began) > within {
			for _, n := range r.Nodes {
				log := n.Log()
				r.Logf("%s, the end of its log:\n%s", n.Name, log[max(len(log)-1500, 0):])
			}
			r.Fatalf("not within %v: %s", within, what)
		}
	}
	return time.Since(began)
}

// WaitReady waits until the node takes clients.
func (n *Node) WaitReady() {
	n.cluster.Helper()
	n.cluster.Until(n.Name+" serves", 20*time.Second, func() bool { return strings.HasPrefix(n.AdminCall("readyz"), "OK") })
}

// Send sends one job to the node, and gives the status of its answer; 0: there was none.
func (n *Node) Send(id, target string, budget time.Duration) int {
	// Danger: the node's socket is the rig's, so that the kernel takes connections for a process that is not there.
	ctx, cancel := context.WithTimeout(context.Background(), budget+time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, "POST", "http://"+n.Listen+target, io.NopCloser(strings.NewReader("b")))
	if err != nil {
		n.cluster.Error(err)
		return 0
	}
	q.ContentLength = 1
	scheme, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "?")
	q.Header = http.Header{"X-Call-Id": {id}, "X-Call-Class": {scheme}, "X-Budget-Ms": {fmt.Sprint(budget.Milliseconds())}}
	if from := q.URL.Query().Get("from"); from != "" {
		q.Header.Set("X-Caller", from)
	}
	if work := n.cluster.plan.JobCost; work > 0 {
		q.Header.Set("X-Call-Cost", fmt.Sprint(work.Microseconds()))
	}
	answer, err := n.cluster.client.Do(q)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

// StartLoad has so many clients send jobs to the node, one after another with a pause, until the end of it.
func (n *Node) StartLoad(name, target string, clients int, pause, budget time.Duration) (end func() (statuses map[int]int)) {
	stop, all, statuses := make(chan struct{}), sync.WaitGroup{}, map[int]int{}
	var mu sync.Mutex
	for c := range clients {
		all.Go(func() {
			tick := time.NewTicker(pause)
			defer tick.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				status := n.Send(fmt.Sprintf("%s-%s-%d-%d", name, n.Name, c, i), target, budget)
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	return func() map[int]int {
		close(stop)
		all.Wait()
		return statuses
	}
}

// GossipRelay gives the relay by which the node's gossip reaches another; nil: itself.
func (n *Node) GossipRelay(other int) *Relay { return n.gossipRelays[other] }

// VoterRelay gives the relay by which the node calls a seat.
func (n *Node) VoterRelay(seat int) *Relay { return n.voterRelays[seat] }
