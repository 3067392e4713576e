package peer

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkControlBytes reports the bytes of control traffic that a node sends per
// second, with sparse links and with a full mesh, in fleets of several sizes.
func BenchmarkControlBytes(b *testing.B) {
	const (
		window  = 5 * time.Second
		engines = 4
	)
	for _, mesh := range []int{1, 1000} {
		for _, perZone := range []int{3, 6, 12} {
			b.Run(fmt.Sprintf("mesh=%d/zones=3/routers=%d", mesh, 3*perZone), func(b *testing.B) {
				f := startZones(b, perZone, func(n *Node) {
					n.FullMeshLimit = mesh
					n.HeartbeatInterval = defaultHeartbeat
					n.LoadSource = newEngineLoads(n.Self.ID(), engines, false)
				})
				f.waitAllLive(b)
				var sum, maximum uint64
				for b.Loop() {
					before := make([]uint64, len(f.nodes))
					for i, n := range f.nodes {
						before[i] = n.Counts().SentBytes
					}
					time.Sleep(window)
					for i, n := range f.nodes {
						sent := n.Counts().SentBytes - before[i]
						sum += sent
						maximum = max(maximum, sent)
					}
				}
				seconds := window.Seconds()
				b.ReportMetric(float64(sum)/float64(len(f.nodes))/seconds/float64(b.N), "B/s-mean")
				b.ReportMetric(float64(maximum)/seconds, "B/s-most")
			})
		}
	}
}
