package rig

// Petitions returns settings of a small deployment of jhb-petitions.
func Petitions(proxies int) Object {
	return Object{
		"ReplicasOfMe": proxies, "SlotNo": 0, "KindOfService": "proxy", "Discovery": "automatic",
		"Zone": "jhb-dc1", "Zones": []string{"jhb-dc1"}, "HostTypes": []string{"type-a", "type-b"},
		"ValuePer": "work", "Weights": "off", "QuantumMs": 2, "Clients": Object{"MarksRetry": true},
		"FamilyInfo": Object{"WarmKeys": true},
		"Feedback":   Object{"Via": "inline", "Fields": []string{"utilization", "recent_ms"}},
		"Ceilings": Object{
			"Cancel": true, "ConnIdleMs": 5000, "ConnectTimeoutMs": 75, "MaxLegs": 4, "RetryAfter": true,
			"MaxRetryAfterMs": 1200, "ParallelTries": true, "StreamsPerConn": 1, "Probes": false, "PeerMessages": false,
		},
		"Rules": Object{
			"StopSendingWithinMs": 2500, "ColdFrom": 0.17, "ColdMs": 22000, "FallMultiple": 3, "OverloadForMs": 1000,
			"AnswerSlackMs": 50,
		},
		"Profiles": []Object{
			{"Name": "view-petition", "Effect": "retryable", "DueTimeMs": 300, "HardStopMs": 1000, "Value": 1},
			{"Name": "check-member", "Effect": "retryable", "DueTimeMs": 150, "HardStopMs": 400, "Value": 5},
			{
				"Name": "add-signature", "Effect": "dedup", "DedupScope": "cell", "WindowMs": 300,
				"DueTimeMs": 200, "HardStopMs": 500, "Value": 10,
			},
			{"Name": "send-sms", "Effect": "fragile", "DueTimeMs": 300, "HardStopMs": 1200, "Value": 2},
		},
	}
}

// Maintenance returns settings of a small deployment of vrancea-mentenanta with one proxy.
func Maintenance() Object {
	return Object{
		"ReplicasOfMe": 1, "SlotNo": 0, "KindOfService": "proxy", "Discovery": "subscribe",
		"Zone": "focsani-sala1", "Zones": []string{"focsani-sala1"}, "HostTypes": []string{"std-2c", "lent-2c"},
		"ValuePer": "work", "Weights": "rough", "QuantumMs": 4, "Clients": Object{"MarksRetry": true},
		"FamilyInfo": Object{"WarmKeys": true},
		"Feedback":   Object{"Via": "on_probe", "Fields": []string{"recent_ms", "throughput", "errors_per_s", "backlog"}},
		"Ceilings": Object{
			"Cancel": true, "ConnIdleMs": 15000, "ConnectTimeoutMs": 100, "MaxLegs": 3, "RetryAfter": true,
			"MaxRetryAfterMs": 3000, "ParallelTries": true, "StreamsPerConn": 1, "Probes": true, "PeerMessages": false,
		},
		"Tariffs": Object{"Probe": 0.01, "Handshake": 0.12, "Waste": 0.3, "LateFail": 0.05},
		"Rules": Object{
			"StopSendingWithinMs": 500, "ColdFrom": 0.12, "ColdMs": 23000, "FallMultiple": 3, "OverloadForMs": 3000,
			"AnswerSlackMs": 50, "GoneIsAdvice": true, "AskEveryMs": 2000,
		},
		"Profiles": []Object{
			{"Name": "stare-statie", "Effect": "retryable", "DueTimeMs": 400, "HardStopMs": 1500, "Value": 5, "LateValue": 0.5},
			{
				"Name": "raport-calibrare", "Effect": "dedup", "DedupScope": "all", "WindowMs": 5000,
				"DueTimeMs": 1000, "HardStopMs": 5000, "Value": 2, "LateValue": 0.5,
			},
		},
	}
}

// MaintenanceFleet returns the same for one of several proxies, which send each other messages.
func MaintenanceFleet(proxies, number int) Object {
	settings := Maintenance()
	settings["ReplicasOfMe"], settings["SlotNo"] = proxies, number
	settings["Ceilings"].(Object)["PeerMessages"] = true
	settings["Tariffs"].(Object)["Peer"] = 0.04
	return settings
}
