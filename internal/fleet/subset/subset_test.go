// SPDX-License-Identifier: Apache-2.0

package subset

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// history is a fleet that changes by chance, one step at a time.
type history struct {
	*rand.Rand
	*testing.T
	settings Settings
	nodes    []string
	servers  []Server
	named    int
}

func newHistory(t *testing.T, seed uint64) *history {
	h := &history{Rand: rand.New(rand.NewPCG(seed, 3)), T: t}
	h.settings = Settings{Size: 4 + h.IntN(20), MinNodesPerServer: 1 + h.IntN(4)}
	for range 3 + h.IntN(40) {
		h.addNode()
	}
	for range h.settings.Size + h.IntN(60) {
		h.addServer()
	}
	return h
}

func (h *history) addNode() {
	h.named++
	h.nodes = append(h.nodes, fmt.Sprint("node-", h.named))
}

func (h *history) addServer() {
	h.named++
	zone := h.IntN(3)
	h.servers = append(h.servers, Server{fmt.Sprint("x", h.named), zone, zone % 2, 0, float64(h.IntN(3)) * (0.5 + h.Float64())})
}

func (h *history) step() (one float64) {
	switch n := h.IntN(4); {
	case n == 0 || len(h.nodes) < 3:
		h.addNode()
	case n == 1:
		i := h.IntN(len(h.nodes))
		h.nodes = slices.Delete(slices.Clone(h.nodes), i, i+1)
	case n == 2 || len(h.servers) < 20:
		h.addServer()
		return float64(len(h.servers))
	default:
		i := h.IntN(len(h.servers))
		h.servers = slices.Delete(slices.Clone(h.servers), i, i+1)
		return float64(len(h.servers))
	}
	return float64(len(h.nodes))
}

// uses gives who uses what, in the view of each of these nodes.
func (h *history) uses(view func(node string) []string) map[string]map[string]bool {
	uses := map[string]map[string]bool{}
	for _, n := range h.nodes {
		uses[n] = map[string]bool{}
		for name, far := range Assign(append(slices.Clone(view(n)), n), h.servers, h.settings).Distances(n) {
			if far == 0 {
				uses[n][name] = true
			}
		}
	}
	return uses
}

// check holds one picture against the promises.
func (h *history) check(uses map[string]map[string]bool) {
	h.Helper()
	by, sizes, count := map[class][]Server{}, map[class]float64{}, map[class]int{}
	for _, e := range h.servers {
		c := class{e.Zone, e.MachineType, e.Cell}
		by[c] = append(by[c], e)
	}
	for c, members := range by {
		known := 0
		for _, e := range members {
			if e.Size > 0 {
				sizes[c], known = sizes[c]+e.Size, known+1
			}
		}
		mean := 1.0
		if known > 0 {
			mean = sizes[c] / float64(known)
		}
		sizes[c] += mean * float64(len(members)-known)
		for _, n := range h.nodes {
			own := 0
			for _, e := range members {
				if uses[n][e.Name] {
					own++
				}
			}
			if count[c] += own; own == 0 {
				h.Errorf("%s reaches none of %v", n, c)
			}
		}
		for _, e := range members {
			used, size := 0, e.Size
			if size <= 0 {
				size = mean
			}
			for _, n := range h.nodes {
				if uses[n][e.Name] {
					used++
				}
			}
			due := float64(count[c]) * size / sizes[c]
			least, most, cover := math.Floor(due/BalanceFactor), math.Ceil(due*BalanceFactor), float64(min(h.settings.MinNodesPerServer, len(h.nodes)))
			if own := float64(used); own < cover || (own < least || own > max(most, cover)) && !h.hasUnmetBounds(members, count[c], sizes[c], mean) {
				h.Errorf("%s of size %.2f is used by %d of %d nodes, %.2f are due", e.Name, size, used, len(h.nodes), due)
			}
		}
	}
}

// hasUnmetBounds says that some executor is due more nodes than there are, or fewer than the cover: others have what is left over, or less.
func (h *history) hasUnmetBounds(members []Server, uses int, sizes, mean float64) bool {
	return slices.ContainsFunc(members, func(e Server) bool {
		size := e.Size
		if size <= 0 {
			size = mean
		}
		due := float64(uses) * size / sizes
		return due*BalanceFactor > float64(len(h.nodes)) || due/BalanceFactor < float64(h.settings.MinNodesPerServer)
	})
}

// FuzzPromises: in random histories each executor is used by as many nodes as its size calls for, each node reaches each class,
// and one that comes or goes moves little, after every step.
func FuzzPromises(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		h := newHistory(t, seed)
		all := func(string) []string { return h.nodes }
		was := h.uses(all)
		h.check(was)
		moved, fair := 0.0, 0.0
		for range 12 {
			of := h.step()
			now := h.uses(all)
			h.check(now)
			held := 0
			for n, executors := range now {
				for e := range executors {
					if held++; was[n] != nil && !was[n][e] && slices.ContainsFunc(h.servers, func(x Server) bool { return x.Name == e }) {
						moved++
					}
				}
			}
			fair += float64(held) / of
			was = now
		}
		t.Logf("%d nodes, %d executors, %+v: %.0f pairs new, a fair share is %.0f", len(h.nodes), len(h.servers), h.settings, moved, fair)
		if moved > 4*fair {
			t.Errorf("%.0f pairs are new at nodes that stayed, a fair share is %.0f", moved, fair)
		}
	})
}

// FuzzViews: nodes of which each is wrong about who is there, by one or two of the others, keep every executor in use.
func FuzzViews(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		h := newHistory(t, seed)
		h.settings.MinNodesPerServer = 3
		for len(h.nodes) < 8 {
			h.addNode()
		}
		uses := h.uses(func(string) []string {
			view := slices.Clone(h.nodes)
			for range h.IntN(3) {
				i := h.IntN(len(view))
				view = slices.Delete(view, i, i+1)
			}
			if h.IntN(2) == 0 {
				view = append(view, "one that has gone")
			}
			return view
		})
		for _, e := range h.servers {
			if !slices.ContainsFunc(h.nodes, func(n string) bool { return uses[n][e.Name] }) {
				t.Errorf("nobody uses %s", e.Name)
			}
		}
	})
}

// TestDistances: what a node does not use it turns to in an order of its own, as many first as it uses, then twice as many.
func TestDistances(t *testing.T) {
	var executors []Server
	for i := range 64 {
		executors = append(executors, Server{Name: fmt.Sprint("x", i)})
	}
	nodes := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	counts := func(node string) (counts [8]int, first []string) {
		for name, far := range Assign(nodes, executors, Settings{Size: 8, MinNodesPerServer: 1}).Distances(node) {
			if counts[far]++; far == 1 {
				first = append(first, name)
			}
		}
		slices.Sort(first)
		return counts, first
	}
	a, first := counts("a")
	if a != [8]int{8, 8, 16, 32} {
		t.Errorf("%v", a)
	}
	if _, other := counts("b"); slices.Equal(first, other) {
		t.Error("two nodes turn to the same ones first")
	}
}

func BenchmarkDistances(b *testing.B) {
	for _, size := range [][2]int{{9, 30}, {300, 200}, {1000, 200}} {
		var nodes []string
		var executors []Server
		for i := range size[0] {
			nodes = append(nodes, fmt.Sprint("n", i))
		}
		for i := range size[1] {
			executors = append(executors, Server{Name: fmt.Sprint("x", i)})
		}
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				Assign(nodes, executors, Settings{20, 3}).Distances("n1")
			}
		})
	}
}
