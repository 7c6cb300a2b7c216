// SPDX-License-Identifier: Apache-2.0

//go:build review

package lab

import "time"

// Class returns the settings of one class.
func Class(name, idempotency string, objective, deadline time.Duration) Object {
	return Object{
		"Name":             name,
		"Idempotency":      idempotency,
		"SlaTime":          int64(objective),
		"Expiry":           int64(deadline),
		"BillingValue":     2.0,
		"LateBillingValue": 0.3,
	}
}

// Settings returns the settings of a small deployment with the given zones and classes. Where a case does not
// change them, the figures are those of bilbao-puerto.
func Settings(zones []string, classes ...Object) Object {
	var stretch []float64
	for range classes {
		stretch = append(stretch, 2)
	}
	return Object{
		"Tick":              int64(5 * time.Millisecond),
		"ReplicasOfMe":      1,
		"Me":                0,
		"MyZone":            0,
		"Dcs":               zones,
		"Skus":              []string{"std"},
		"Discovery":         "automatic",
		"BillingValueBasis": "request",
		"Extra": Object{
			"ClassStretch": stretch,
			"Progress":     int64(time.Second),
			"TellsStart":   true,
		},
		"Limits": Object{
			"DialTimeout":   int64(150 * time.Millisecond),
			"IdleClose":     int64(10 * time.Second),
			"MayCancel":     true,
			"MayDuplicate":  true,
			"MostPostings":  3,
			"RetryAfter":    true,
			"MaxRetryAfter": int64(2 * time.Second),
		},
		"Report": Object{"Source": "silent"},
		"Rules": Object{
			"AskWithin":    int64(10 * time.Second),
			"Cold":         int64(9 * time.Second),
			"ColdShare":    0.32,
			"Fall":         int64(1500 * time.Millisecond),
			"FallMultiple": 2.5,
			"DrainGrace":   int64(2 * time.Second),
		},
		"Schemes": classes,
		"Tenants": []Object{{"Name": "norte", "Share": 0.6}, {"Name": "laredo", "Share": 0.4}},
	}
}

// Configuration returns the configuration of one node with these settings.
func Configuration(name, listen, discovery string, known, settings Object) Object {
	return Object{
		"name":      name,
		"listen":    listen,
		"discovery": discovery,
		"seed":      "8c1f30d27a5be964",
		"limits":    Object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":     known,
		"settings":  settings,
	}
}
