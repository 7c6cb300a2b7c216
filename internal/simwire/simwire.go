// SPDX-License-Identifier: Apache-2.0

// Package simwire speaks the bench's text wire for any number of decision modules. It owns ids, the tables from
// ids to objects, and alarm tokens; it decides nothing.
package simwire

import (
	"bufio"
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"runtime/debug"
	"strconv"
	"strings"

	"fernrail/dispatch"
	"fernrail/internal/config"
	"fernrail/internal/protocol"
)

// Serve answers batches until the input ends. A line that cannot be read is an error that names its number.
func Serve(in io.Reader, out io.Writer) error {
	s := &session{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<16), nodes: map[string]*node{}}
	for {
		text, err := s.in.ReadString('\n')
		if err != nil && text == "" {
			if err == io.EOF && s.inRound {
				return fmt.Errorf("line %d: input ends within a round", s.number)
			}
			if err == io.EOF {
				return nil
			}
			return err
		}
		s.number++
		if text = strings.TrimRight(text, "\r\n"); text == "" {
			continue
		}
		if err := s.line(text); err != nil {
			return fmt.Errorf("line %d: %w", s.number, err)
		}
	}
}

type session struct {
	in      *bufio.Reader
	out     *bufio.Writer
	number  int
	inRound bool
	now     int64
	batch   string
	nodes   map[string]*node
	current *node
	touched []*node
	spoke   *node // whose actions are being written
	list    *listing
}

// listing gathers the entries of one UPDATE.
type listing struct {
	left    int
	mode    string
	members []dispatch.Endpoint
}

// node is one instance with its tables. It is the module's Door.
type node struct {
	name      string
	session   *session
	module    *dispatch.Dispatcher // nil: not started, killed or crashed
	terms     *dispatch.Settings
	values    protocol.LoadReportKeys // of load reports
	executors map[string]*dispatch.Server
	marks     map[uint32]*dispatch.Server // the same, as nodes name them to one another
	txns      map[string]*dispatch.Request
	alarms    map[int64]func()
	token     int64
	touched   bool
	dead      bool
}

func (s *session) line(text string) error {
	name, rest, _ := strings.Cut(text, "\t")
	f := fields{rest: rest, message: name}
	if s.list != nil && name != "ITEM" {
		return fmt.Errorf("%s where %d more list entries are due", name, s.list.left)
	}
	switch name {
	case "ROUND":
		if s.inRound {
			return fmt.Errorf("ROUND within a round")
		}
		s.inRound, s.current, s.now, s.batch = true, nil, f.whole("Now"), f.text("batch")
		return f.err
	case "COMMIT":
		if !s.inRound {
			return fmt.Errorf("COMMIT outside a round")
		}
		return s.commit()
	case "ON":
		who := f.text("Who")
		if f.err != nil || !s.inRound {
			return f.or("ON outside a round")
		}
		n := s.nodes[who]
		if n == nil {
			n = &node{name: who, session: s}
			s.nodes[who] = n
		}
		if s.current = n; !n.touched {
			n.touched = true
			s.touched = append(s.touched, n)
		}
		return nil
	}
	if s.current == nil || !s.inRound {
		return fmt.Errorf("%s with no instance selected", name)
	}
	n := s.current
	if n.dead {
		return nil
	}
	event, known := events[name]
	if !known {
		return fmt.Errorf("unknown message %q", name)
	}
	if n.module == nil && name != "NEW_INSTANCE" {
		return fmt.Errorf("%s for %s, which is not running", name, n.name)
	}
	n.guard(func() { event(n, &f) })
	return f.err
}

// guard runs a step of the module; a panic there is reported for this instance alone.
func (n *node) guard(step func()) {
	defer func() {
		if r := recover(); r != nil {
			n.dead = true
			text := fmt.Sprintf("%v | %s", r, debug.Stack())
			n.say("CRASH", "Text", strings.NewReplacer("\n", " | ", "\r", " ", "\t", " ").Replace(text))
		}
	}()
	if n.module != nil {
		n.module.Advance(n.session.now)
	}
	step()
}

func (s *session) commit() error {
	for _, n := range s.touched {
		if n.touched = false; n.module != nil && !n.dead {
			n.guard(n.module.ProcessQueue)
		}
	}
	s.touched, s.spoke, s.inRound = s.touched[:0], nil, false
	s.write("YIELD\tbatch=", s.batch, "\n")
	return s.out.Flush()
}

// events hands each message's fields to the module. (NEW_INSTANCE and UPDATE are longer and stand below.)
var events map[string]func(n *node, f *fields)

func init() {
	events = map[string]func(n *node, f *fields){
		"NEW_INSTANCE": (*node).start,
		"UPDATE":       (*node).update,
		"ITEM":         (*node).item,
		"ORDER":        (*node).order,
		"REPORT_BACK":  (*node).reportBack,
		"HINT_UPDATE":  (*node).note,
		"KILL": func(n *node, _ *fields) {
			n.module, n.executors, n.txns, n.alarms = nil, nil, nil, nil
		},
		"ABANDONED": func(n *node, f *fields) {
			if t := n.txns[f.text("Job")]; t != nil && f.err == nil {
				n.module.Finish(t)
				n.tidy(t)
			}
		},
		"WAKE": func(n *node, f *fields) {
			token := f.whole("Cookie")
			if then := n.alarms[token]; then != nil {
				delete(n.alarms, token)
				then()
			}
		},
		"PROBED":  (*node).probed,
		"WHISPER": (*node).whisper,
		// The module uses no streams.
		"ACK_FIRST": func(n *node, f *fields) {},
	}
}

func (n *node) start(f *fields) {
	seed := f.whole("InitSeed")
	terms, err := config.DecodeSettings(f.find)
	if f.err != nil || err != nil {
		f.err = cmp.Or(f.err, err)
		return
	}
	n.executors, n.txns, n.alarms = map[string]*dispatch.Server{}, map[string]*dispatch.Request{}, map[int64]func(){}
	n.marks = map[uint32]*dispatch.Server{}
	n.terms, n.values = terms, config.DecodeLoadReportKeys(f.find)
	n.module = dispatch.New(terms, uint64(seed), n, n.session.now)
}

func (n *node) update(f *fields) {
	mode := f.text("Mode")
	if f.err != nil {
		return
	}
	switch mode {
	case "broken":
		n.module.PollFailed(0, 0)
	case "patch", "whole", "stale_copy":
		l := &listing{left: int(f.whole("MembersList")), mode: mode}
		if l.left > 0 {
			n.session.list = l
		} else {
			n.listed(l)
		}
	default:
		f.fail("unknown list mode %q", mode)
	}
}

func (n *node) item(f *fields) {
	l := n.session.list
	if l == nil {
		f.fail("ITEM outside a list")
		return
	}
	tag, state := f.text("Executor"), f.text("Lifecycle")
	e := n.executors[tag]
	if e == nil {
		e = &dispatch.Server{Tag: tag, Hash: dispatch.HashName(tag)}
		n.executors[tag], n.marks[uint32(e.Hash)] = e, e
	}
	m := dispatch.Endpoint{Server: e, Zone: int(f.wholeOrZero("Zone")), MachineType: int(f.wholeOrZero("ClassOfHost")),
		Cell: int(f.wholeOrZero("UnitGroup")), StartedAt: f.wholeOrZero("OnlineSince"),
		Capacity: f.realOr("Units", 1)}
	switch state {
	case "up":
	case "draining":
		m.State = dispatch.Draining
	case "removed":
		m.State = dispatch.Removed
	default:
		f.fail("unknown state %q", state)
	}
	l.members = append(l.members, m)
	if l.left--; l.left == 0 && f.err == nil {
		n.session.list = nil
		n.listed(l)
	}
}

func (n *node) listed(l *listing) {
	n.module.UpdateEndpoints(l.mode != "patch", l.members)
	for tag, e := range n.executors {
		if e.State == dispatch.Removed {
			delete(n.executors, tag)
			delete(n.marks, uint32(e.Hash))
		}
	}
}

func (n *node) order(f *fields) {
	tag, scheme := f.text("Job"), int(f.whole("Grade"))
	t := &dispatch.Request{Tag: tag, Tenant: int(f.wholeOrZero("Tenant")), Slots: f.realOr("Slots", 1),
		AffinityKey:  uint64(f.wholeOrZero("Resource")),
		ExpectedWork: f.wholeOrZero("Predicted"), Deadline: f.whole("GiveUpAt")}
	if f.err == nil && (scheme < 0 || scheme >= len(n.terms.Classes)) {
		f.fail("no scheme %d in the settings", scheme)
	}
	if count := len(n.terms.Tenants); f.err == nil && count > 0 && (t.Tenant < 0 || t.Tenant >= count) {
		f.fail("no tenant %d in the settings", t.Tenant)
	}
	if f.err != nil {
		return
	}
	t.Class = n.terms.Classes[scheme]
	n.txns[tag] = t
	n.module.Arrive(t)
	n.tidy(t)
}

func (n *node) posting(f *fields) *dispatch.Attempt {
	job, trial := f.text("Job"), f.whole("Trial")
	if t := n.txns[job]; t != nil && f.err == nil && trial >= 0 && trial < int64(len(t.Attempts)) {
		return t.Attempts[trial]
	}
	return nil
}

func (n *node) reportBack(f *fields) {
	p, o, took, over := n.posting(f), f.outcome(), f.wholeOrZero("TimeTaken"), f.wholeOrZero("Ended") != 0
	if p != nil && p.InFlight && f.err == nil {
		p.FreeSlots = f.reported(n.values.FreeSlots)
		n.module.AttemptEnded(p, o, took, over)
		n.tidy(p.Request)
	}
}

// probed hands on what an executor told of its room; none, where the probe failed or its report lacks the value.
func (n *node) probed(f *fields) {
	e, status, free, memory := n.executors[f.text("Executor")], f.text("Status"), f.reported(n.values.FreeSlots), math.MaxFloat64
	if n.values.FreeMemory != "" {
		memory = f.reported(n.values.FreeMemory)
	}
	if e == nil || f.err != nil {
		return
	}
	told := status == "delivered"
	if !told {
		free = 0
	}
	n.module.CapacityReported(e, told, free, memory)
}

// whisper hears what another node took. Danger: odd bytes, or an executor that this node's own list has not named; both
// are passed over.
func (n *node) whisper(f *fields) {
	message, err := base64.StdEncoding.DecodeString(f.text("Content"))
	if err != nil || len(message) != 5 {
		return
	}
	if e := n.marks[binary.BigEndian.Uint32(message[1:])]; e != nil {
		n.module.SlotsReserved(e, float64(message[0]))
	}
}

func (n *node) note(f *fields) {
	p, topic := n.posting(f), f.whole("Topic")
	if p == nil || !p.InFlight || f.err != nil {
		return
	}
	switch topic {
	case 1:
		n.module.AttemptStarted(p)
	case 2:
		n.module.AttemptProgressed(p)
	}
}

// tidy drops a txn once it is answered and nothing is out for it.
func (n *node) tidy(t *dispatch.Request) {
	if !t.Done {
		return
	}
	for _, p := range t.Attempts {
		if p.InFlight {
			return
		}
	}
	delete(n.txns, t.Tag)
}

// say writes one action; parts are names and values in turn.
func (n *node) say(verb string, parts ...string) {
	if n.session.spoke != n {
		n.session.spoke = n
		n.session.write("AT\tWho=", n.name, "\n")
	}
	n.session.write(verb)
	for i := 0; i < len(parts); i += 2 {
		n.session.write("\t", parts[i], "=", parts[i+1])
	}
	n.session.write("\n")
}

// write appends texts to the reply. A bufio.Writer keeps its first error, and the Flush in commit returns it.
func (s *session) write(texts ...string) {
	for _, text := range texts {
		_, _ = s.out.WriteString(text)
	}
}

func number(v int64) string { return strconv.FormatInt(v, 10) }

// StartAttempt implements dispatch.Door, as do the methods after it.
func (n *node) StartAttempt(p *dispatch.Attempt) {
	n.say("TRY", "Job", p.Request.Tag, "Executor", p.Server.Tag, "Limit", number(p.Timeout))
}

func (n *node) CancelAttempt(p *dispatch.Attempt) {
	n.say("WITHDRAW", "Job", p.Request.Tag, "Trial", number(int64(p.Number)))
}

func (n *node) Shed(t *dispatch.Request, returnIn int64) {
	n.say("NOT_NOW", "Job", t.Tag, "RetryIn", number(returnIn))
	n.tidy(t)
}

func (n *node) Compensate(t *dispatch.Request) {
	n.say("ABORT", "Job", t.Tag)
	n.tidy(t)
}

func (n *node) Schedule(after int64, then func()) (forget func()) {
	n.token++
	token := n.token
	n.alarms[token] = then
	n.say("SET_ALARM", "Cookie", number(token), "After", number(max(after, 0)))
	return func() { delete(n.alarms, token) }
}

func (n *node) ProbeCapacity(e *dispatch.Server) { n.say("SOUND_OUT", "Executor", e.Tag) }

// NotifyPeers sends what was taken in five bytes: slots and the executor's mark.
func (n *node) NotifyPeers(e *dispatch.Server, slots float64) {
	message := binary.BigEndian.AppendUint32([]byte{byte(min(max(slots, 0), 255))}, uint32(e.Hash))
	n.say("SHARE", "Recipient", "*", "Content", base64.StdEncoding.EncodeToString(message))
}

func (n *node) PollEndpoints(on bool) {
	enable := "0"
	if on {
		enable = "1"
	}
	n.say("WATCH", "Enable", enable)
}
