// SPDX-License-Identifier: Apache-2.0

//go:build review

package lab

import "time"

// Settings returns the settings of a small deployment: the class status may run again, the class book must
// never run twice.
func Settings() Object {
	return Object{
		"Tick":              int64(5 * time.Millisecond),
		"ReplicasOfMe":      1,
		"Me":                0,
		"MyZone":            0,
		"Dcs":               []string{"burgas", "yambol"},
		"Skus":              []string{"std"},
		"Discovery":         "automatic",
		"BillingValueBasis": "request",
		"Extra": Object{
			"ClassStretch": []float64{2.5, 2},
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
		"Schemes": []Object{
			{"Name": "status", "SlaTime": int64(300 * time.Millisecond), "Expiry": int64(5 * time.Second),
				"BillingValue": 1.0, "LateBillingValue": 0.3, "Idempotency": "idempotent"},
			{"Name": "book", "SlaTime": int64(300 * time.Millisecond), "Expiry": int64(5 * time.Second),
				"BillingValue": 5.0, "LateBillingValue": 0.3, "Idempotency": "at_most_once"},
		},
		"Tenants": []Object{{"Name": "norte", "Share": 0.6}, {"Name": "laredo", "Share": 0.4}},
	}
}

// Configuration returns the configuration of one node with these settings.
func Configuration(listen, discovery string, known, settings Object) Object {
	return Object{
		"name":      "n0",
		"listen":    listen,
		"discovery": discovery,
		"seed":      "8c1f30d27a5be964",
		"limits":    Object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":     known,
		"settings":  settings,
	}
}
