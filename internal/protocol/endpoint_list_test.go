// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"strings"
	"testing"

	"fernrail/dispatch"
)

// rawList is a list with a new key, an unknown zone and machine type, and a removed server.
const rawList = `{"version":41,"full":true,"new":1,"servers":[
{"id":"s-1","addr":"10.0.0.1:7","zone":"b","kind":"m1","cell":3,"state":"Ready","weight":1.5,"started_ms":1700000000000},
{"id":"s-2","addr":"10.0.0.2:7","zone":"odd","kind":"odd","state":"Terminating"},{"id":"s-3","state":"Gone"}]}`

// TestEndpointList: a list is decoded, with unknown names as -1, and each invalid value or missing key fails
// the complete list.
func TestEndpointList(t *testing.T) {
	list, err := DecodeEndpointList([]byte(rawList), names)
	if err != nil || list.Version != 41 || !list.Complete || len(list.Endpoints) != 3 {
		t.Fatalf("got list %+v and error %v, want a complete list of version 41 with 3 endpoints", list, err)
	}
	first := Endpoint{ID: "s-1", Address: "10.0.0.1:7", Zone: 1, Cell: 3, StartedAt: 17e17, Capacity: 1.5}
	if list.Endpoints[0] != first || list.Endpoints[1].State != dispatch.Draining ||
		list.Endpoints[1].Zone != -1 || list.Endpoints[2].State != dispatch.Removed {
		t.Errorf("got endpoints %+v, want s-1 up, s-2 draining in an unknown zone and s-3 removed", list.Endpoints)
	}
	for _, change := range [][2]string{{`"version":41,`, ""}, {`"full":true,`, ""},
		{`"servers":[`, `"server":[`},
		{"Ready", "ready"}, {`"weight":1.5`, `"weight":-1`}, {`"weight":1.5`, `"weight":1e9`},
		{`"id":"s-1",`, ""}, {"10.0.0.1:7", "nowhere"}, {"1700000000000", "-5"},
		{"1700000000000", "9223372036854775807"}, {"]}", "]"}, {`"cell":3`, `"cell":"x"`}} {
		if list, err := DecodeEndpointList(
			[]byte(strings.Replace(rawList, change[0], change[1], 1)), names); err == nil {
			t.Errorf("list with %q for %q: got %+v, want an error", change[1], change[0], list)
		}
	}
}
