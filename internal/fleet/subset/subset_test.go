// SPDX-License-Identifier: Apache-2.0

package subset

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// history is a fleet that changes at random, one step at a time.
type history struct {
	*rand.Rand
	*testing.T
	settings Settings
	nodes    []string
	servers  []Server
	named    int // how many nodes and servers there ever were
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
	h.servers = append(h.servers, Server{
		Name:        fmt.Sprint("x", h.named),
		Zone:        zone,
		MachineType: zone % 2,
		Size:        float64(h.IntN(3)) * (0.5 + h.Float64()),
	})
}

// step adds or removes a node or a server, and returns how many of its kind there are then.
func (h *history) step() float64 {
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

// uses returns which node uses which server. view is which nodes a node knows of.
func (h *history) uses(view func(node string) []string) map[string]map[string]bool {
	uses := map[string]map[string]bool{}
	for _, n := range h.nodes {
		uses[n] = map[string]bool{}
		known := append(slices.Clone(view(n)), n)
		for name, distance := range Assign(known, h.servers, h.settings).Distances(n) {
			if distance == 0 {
				uses[n][name] = true
			}
		}
	}
	return uses
}

// classUses is which nodes use the servers of one class.
type classUses struct {
	*history
	servers []Server
	mean    float64 // of the sizes that are known
	size    float64 // of all servers
	uses    map[string]map[string]bool
	count   int // of pairs of a node and a server
}

// check compares an assignment with what is promised.
func (h *history) check(uses map[string]map[string]bool) {
	h.Helper()
	classes := map[class][]Server{}
	for _, server := range h.servers {
		c := class{server.Zone, server.MachineType, server.Cell}
		classes[c] = append(classes[c], server)
	}
	for c, servers := range classes {
		u := newClassUses(h, servers, uses)
		u.checkNodes(c)
		for _, server := range servers {
			u.checkServer(server)
		}
	}
}

func newClassUses(h *history, servers []Server, uses map[string]map[string]bool) *classUses {
	u := &classUses{history: h, servers: servers, uses: uses, mean: 1}
	known := 0
	for _, server := range servers {
		if server.Size > 0 {
			u.size += server.Size
			known++
		}
	}
	if known > 0 {
		u.mean = u.size / float64(known)
	}
	u.size += u.mean * float64(len(servers)-known)
	return u
}

// checkNodes counts the uses. Each node reaches the class.
func (u *classUses) checkNodes(c class) {
	u.Helper()
	for _, node := range u.nodes {
		own := 0
		for _, server := range u.servers {
			if u.uses[node][server.Name] {
				own++
			}
		}
		u.count += own
		if own == 0 {
			u.Errorf("%s reaches none of %v", node, c)
		}
	}
}

// due is how many nodes a server's size calls for.
func (u *classUses) due(server Server) float64 {
	size := server.Size
	if size <= 0 {
		size = u.mean
	}
	return float64(u.count) * size / u.size
}

// checkServer compares the number of nodes that use a server with what its size calls for.
func (u *classUses) checkServer(server Server) {
	u.Helper()
	used := 0
	for _, node := range u.nodes {
		if u.uses[node][server.Name] {
			used++
		}
	}
	due := u.due(server)
	cover := min(u.settings.MinNodesPerServer, len(u.nodes))
	least, most := math.Floor(due/BalanceFactor), max(math.Ceil(due*BalanceFactor), float64(cover))
	isBalanced := float64(used) >= least && float64(used) <= most
	if used < cover || !isBalanced && !u.hasUnmetBounds() {
		u.Errorf("%s of size %.2f is used by %d of %d nodes, due are %.2f",
			server.Name, server.Size, used, len(u.nodes), due)
	}
}

// hasUnmetBounds reports whether some server is due more nodes than there are, or fewer than the least
// number. The others then have what is left over, or less.
func (u *classUses) hasUnmetBounds() bool {
	return slices.ContainsFunc(u.servers, func(server Server) bool {
		due := u.due(server)
		isOverAll := due*BalanceFactor > float64(len(u.nodes))
		isUnderLeast := due/BalanceFactor < float64(u.settings.MinNodesPerServer)
		return isOverAll || isUnderLeast
	})
}

// FuzzPromises: in random histories, after every step, each server is used by as many nodes as its size calls
// for, each node reaches each class, and a node or server that comes or goes moves few pairs.
func FuzzPromises(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		h := newHistory(t, seed)
		all := func(string) []string { return h.nodes }
		before := h.uses(all)
		h.check(before)
		moved, fair := 0.0, 0.0
		for range 12 {
			count := h.step()
			after := h.uses(all)
			h.check(after)
			fair += float64(countPairs(after)) / count
			moved += float64(h.newPairs(before, after))
			before = after
		}
		t.Logf("%d nodes, %d servers, %+v: %.0f pairs are new, a fair share is %.0f",
			len(h.nodes), len(h.servers), h.settings, moved, fair)
		if moved > 4*fair {
			t.Errorf("%.0f pairs are new at nodes that stayed, a fair share is %.0f", moved, fair)
		}
	})
}

func countPairs(uses map[string]map[string]bool) int {
	count := 0
	for _, servers := range uses {
		count += len(servers)
	}
	return count
}

// newPairs counts the pairs that a step added at nodes that were there before it.
func (h *history) newPairs(before, after map[string]map[string]bool) int {
	count := 0
	for node, servers := range after {
		for name := range servers {
			isListed := slices.ContainsFunc(h.servers, func(s Server) bool { return s.Name == name })
			if before[node] != nil && !before[node][name] && isListed {
				count++
			}
		}
	}
	return count
}

// FuzzViews: nodes of which each is wrong about which others are alive, by one or two of them, keep every
// server in use.
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

// TestDistances: a node turns to the servers that it does not use in an order of its own: to as many as it
// uses first, then to twice as many.
func TestDistances(t *testing.T) {
	var servers []Server
	for i := range 64 {
		servers = append(servers, Server{Name: fmt.Sprint("x", i)})
	}
	nodes := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	counts := func(node string) (counts [8]int, first []string) {
		assignment := Assign(nodes, servers, Settings{Size: 8, MinNodesPerServer: 1})
		for name, distance := range assignment.Distances(node) {
			counts[distance]++
			if distance == 1 {
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
		var servers []Server
		for i := range size[0] {
			nodes = append(nodes, fmt.Sprint("n", i))
		}
		for i := range size[1] {
			servers = append(servers, Server{Name: fmt.Sprint("x", i)})
		}
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				Assign(nodes, servers, Settings{Size: 20, MinNodesPerServer: 3}).Distances("n1")
			}
		})
	}
}
