// SPDX-License-Identifier: Apache-2.0

//go:build review

package lab2

import "time"

// zone is the zone of all executors.
const zone = "a"

const (
	ms = int64(time.Millisecond)
	s  = int64(time.Second)
)

// scheme returns the settings of one class of requests.
func scheme(name, effect string, expiry int64) map[string]any {
	return map[string]any{
		"Name": name, "SlaTime": 300 * ms, "Expiry": expiry, "BillingValue": 2.0, "LateBillingValue": 0.5,
		"Idempotency": effect,
	}
}

// smallDeployment returns the settings of a small deployment, after the project's example configuration.
func smallDeployment(nodes int, schemes ...map[string]any) map[string]any {
	stretch := make([]float64, len(schemes))
	for i := range stretch {
		stretch[i] = 2.5
	}
	return map[string]any{
		"Tick": 5 * ms, "ReplicasOfMe": nodes, "Me": 0, "MyZone": 0, "Dcs": []string{zone}, "Skus": []string{"std"},
		"Discovery": "automatic", "BillingValueBasis": "request",
		"Extra": map[string]any{"ClassStretch": stretch, "Progress": 1 * s, "TellsStart": true},
		"Limits": map[string]any{
			"DialTimeout": 120 * ms, "IdleClose": 60 * s, "MayCancel": true, "MayDuplicate": true,
			"MostPostings": 3, "RetryAfter": true, "MaxRetryAfter": 2 * s,
		},
		"Report": map[string]any{"Source": "silent"},
		"Rules": map[string]any{
			"AnswerSlack": 50 * ms, "AskWithin": 10 * s, "Cold": 9 * s, "ColdShare": 0.3, "DrainGrace": 2 * s,
			"Fall": 1500 * ms, "FallMultiple": 2.5,
		},
		"Schemes": schemes,
		"Tenants": []map[string]any{{"Name": "acme", "Share": 1.0}},
	}
}

// configuration returns the file of a node.
func configuration(name, listen, admin string, d *discovery, settings map[string]any) map[string]any {
	return map[string]any{
		"name": name, "listen": listen, "admin_addr": admin, "discovery": d.address, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  d.list(), "settings": settings,
	}
}
