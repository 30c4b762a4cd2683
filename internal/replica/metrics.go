package replica

import "github.com/rcrowley/go-metrics"

type replicaMetrics struct {
	proposed, applied, reads, dropped metrics.Counter
	elections, leaderLosses           metrics.Counter
	snapshots, restores               metrics.Counter
	snapshotErrors, slowSyncs         metrics.Counter
	snapshotsRefused                  metrics.Counter
	sync                              metrics.Timer
}

func newMetrics(r metrics.Registry) replicaMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("replica."+name, r) }
	return replicaMetrics{
		proposed: counter("proposed"), applied: counter("applied"), reads: counter("reads"),
		dropped: counter("messages-dropped"), elections: counter("elections-won"), leaderLosses: counter("leader-losses"),
		snapshots: counter("snapshots"), restores: counter("restores"),
		snapshotErrors: counter("snapshot-errors"), slowSyncs: counter("slow-syncs"),
		snapshotsRefused: counter("snapshots-refused"),

		sync: metrics.GetOrRegisterTimer("replica.sync", r),
	}
}
