// SPDX-License-Identifier: Apache-2.0

package subset

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// history is a fleet to which random changes are applied, one step at a time.
type history struct {
	*rand.Rand
	*testing.T
	settings Settings
	nodes    []string
	servers  []Server
	named    int // number of nodes and servers that were ever added
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

// step adds or removes a node or a server. It returns the resulting number of nodes or servers, respectively.
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

// uses returns the servers that each node uses. view returns the nodes that a node considers alive.
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

// classUses contains the nodes that use the servers of one class.
type classUses struct {
	*history
	servers []Server
	mean    float64 // of the known sizes
	size    float64 // sum over all servers
	uses    map[string]map[string]bool
	count   int // number of pairs of a node and a server
}

// check checks an assignment against the guarantees of the package.
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

// checkNodes checks that each node uses a server of the class, and counts the pairs.
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
			u.Errorf("node %s uses no server of class %+v", node, c)
		}
	}
}

// expectedNodes returns the number of nodes that use a server in exact proportion to its size.
func (u *classUses) expectedNodes(server Server) float64 {
	size := server.Size
	if size <= 0 {
		size = u.mean
	}
	return float64(u.count) * size / u.size
}

// checkServer checks that the number of nodes that use a server is in proportion to its size.
func (u *classUses) checkServer(server Server) {
	u.Helper()
	used := 0
	for _, node := range u.nodes {
		if u.uses[node][server.Name] {
			used++
		}
	}
	expected := u.expectedNodes(server)
	cover := min(u.settings.MinNodesPerServer, len(u.nodes))
	least, most := math.Floor(expected/BalanceFactor), max(math.Ceil(expected*BalanceFactor), float64(cover))
	isBalanced := float64(used) >= least && float64(used) <= most
	if used < cover || !isBalanced && !u.hasUnmetBounds() {
		u.Errorf("server %s of size %.2f is used by %d of %d nodes, want about %.2f",
			server.Name, server.Size, used, len(u.nodes), expected)
	}
}

// hasUnmetBounds reports whether the expected number of nodes of some server exceeds the number of all nodes
// or is below the minimum. The other servers then get the remaining assignments, or fewer.
func (u *classUses) hasUnmetBounds() bool {
	return slices.ContainsFunc(u.servers, func(server Server) bool {
		expected := u.expectedNodes(server)
		isAboveAllNodes := expected*BalanceFactor > float64(len(u.nodes))
		isBelowMinimum := expected/BalanceFactor < float64(u.settings.MinNodesPerServer)
		return isAboveAllNodes || isBelowMinimum
	})
}

// FuzzAssignmentGuarantees checks three properties after every step of random histories: the number of nodes
// per server is in proportion to its size, each node uses a server of each class, and adding or removing a
// node or server moves few pairs.
func FuzzAssignmentGuarantees(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		h := newHistory(t, seed)
		all := func(string) []string { return h.nodes }
		before := h.uses(all)
		h.check(before)
		moved, expected := 0.0, 0.0
		for range 12 {
			count := h.step()
			after := h.uses(all)
			h.check(after)
			expected += float64(countPairs(after)) / count
			moved += float64(h.newPairs(before, after))
			before = after
		}
		t.Logf("%d nodes, %d servers, %+v: %.0f new pairs, proportional would be %.0f",
			len(h.nodes), len(h.servers), h.settings, moved, expected)
		if moved > 4*expected {
			t.Errorf("%.0f new pairs on remaining nodes, want at most 4 times %.0f", moved, expected)
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

// newPairs counts the pairs of listed servers that a step added on nodes that existed before it.
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

// FuzzDifferentViews checks that every server is used although each node has a slightly wrong list of live
// nodes, with up to two missing and up to one extra node.
func FuzzDifferentViews(f *testing.F) {
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
				t.Errorf("no node uses server %s", e.Name)
			}
		}
	})
}

// TestDistances checks that the servers not assigned to a node have increasing distances, first as many as
// are assigned and then twice as many per distance, and that nodes differ in the order.
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
		t.Errorf("number of servers by distance: got %v, want 8, 8, 16 and 32", a)
	}
	if _, other := counts("b"); slices.Equal(first, other) {
		t.Error("nodes a and b have the same servers at distance 1")
	}
}

// BenchmarkDistances measures Assign and Distances for fleets of different sizes.
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
