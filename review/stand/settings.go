package main

// smallSettings are the settings of a small deployment, in the form that the platform gives them.
func smallSettings(graceMs int) object {
	return object{
		"ReplicasOfMe": 1, "SlotNo": 0, "Zone": "a", "Zones": []string{"a"}, "HostTypes": []string{"m"},
		"KindOfService": "proxy", "Discovery": "automatic", "ValuePer": "request",
		"Ceilings": object{"MaxLegs": 4, "Cancel": true, "ParallelTries": true, "ConnIdleMs": 5000.0,
			"ConnectTimeoutMs": 75.0, "RetryAfter": true, "MaxRetryAfterMs": 1200.0, "StreamsPerConn": 1},
		"Rules": object{"StopSendingWithinMs": graceMs, "ColdFrom": 0.17, "ColdMs": 22000, "FallMultiple": 3,
			"OverloadForMs": 1000, "AnswerSlackMs": 50},
		"Profiles": []object{
			{"Name": "view", "Effect": "retryable", "DueTimeMs": 300.0, "HardStopMs": 1000.0, "Value": 1.0},
			{"Name": "sms", "Effect": "fragile", "DueTimeMs": 300.0, "HardStopMs": 1200.0, "Value": 2.0},
		},
	}
}

// smallLimits are the limits of a proxy's machine, with a memory limit in MB.
func smallLimits(memory int) object {
	return object{"cores": 1.0, "memory_mb": memory, "sockets": 1024}
}
