package edge

import (
	"time"

	"peridotusher.example/peridotusher/admission"
	"peridotusher.example/peridotusher/mesh"
	"peridotusher.example/peridotusher/replicas"
)

// admissionMode selects the services whose requests ask a coordinator for slots.
type admissionMode string

// The modes: services whose replicas report their pace, all plain services, none.
const (
	admitAuto admissionMode = "auto"
	admitOn   admissionMode = "on"
	admitOff  admissionMode = "off"
)

// coordinatorTopic precedes the name of a service in the topic of its coordinator.
const coordinatorTopic = "admission/"

// initAdmission sets up the coordinator, which serves other routers whatever this router's
// mode is, and makes requests ask for slots unless the mode is off.
func (r *Router) initAdmission() {
	self := r.node.Self
	r.coordinator = &admission.Coordinator{
		Clock: r.clock, Log: r.Log, Replicas: r.available, Send: r.sendReply, NewQueue: r.newQueue,
	}
	if r.newQueue == nil {
		r.coordinator.NewQueue = func() admission.ServiceQueue { return admission.NewQueue(r.clock) }
	}
	r.admission = &admission.Client{
		Router: self.Name, Incarnation: self.Incarnation, Zone: self.Zone, Clock: r.clock,
		Transport: coordinators{r}, LocalCoordinator: r.coordinator, KnowsReplica: r.knowsReplica,
	}
	r.node.Admission = requests{r}
	mode := r.Settings.admission.mode
	if mode == admitOff {
		return
	}
	r.front.Admission = r.admission
	contracts := r.Settings.admission.contracts
	r.front.AlwaysAdmit = mode == admitOn || r.SharesCapacity != nil && r.SharesCapacity(contracts)
}

// knowsReplica reports whether the replica with the short id hash is in the table.
func (r *Router) knowsReplica(hash uint32) bool {
	_, ok := r.table.Find(hash)
	return ok
}

// available returns the replicas of a service that may get requests now.
func (r *Router) available(service string) []admission.AvailableReplica {
	now := r.clock.Now()
	accepting := replicas.Accepting(now, r.table.Ready(service))
	for _, e := range replicas.DetectOutliers(now, accepting) {
		r.Log.Event("ejected", "replica", e.ID(), "service", e.Service(), "samples", e.Samples, "failed", e.FailureRatio, "baseline", e.Baseline)
	}
	var out []admission.AvailableReplica
	for _, replica := range accepting {
		if replica.Ejected(now) || replica.Unreachable() {
			continue
		}
		out = append(out, placeOf(now, replica))
	}
	return out
}

func placeOf(now time.Time, r *replicas.Replica) admission.AvailableReplica {
	return admission.AvailableReplica{Hash: r.Hash(), Zone: r.Zone(), Slots: r.Slots(), Load: r.LatestLoad(now), Pace: r.Pace(now)}
}

// sendReply sends a router, possibly this one, the reply to its request.
func (r *Router) sendReply(router string, reply admission.Reply) {
	if router == r.node.Self.Name {
		r.admission.Receive(reply)
		return
	}
	r.node.SendAdmissionReply(router, reply)
}

// coordinators implements admission.Transport.
type coordinators struct{ r *Router }

// Coordinator implements admission.Transport.
func (c coordinators) Coordinator(service string) (router string, self, ok bool) {
	return c.r.node.FirstRouter(coordinatorTopic+service, c.r.stopping.Load() == nil)
}

// Ask implements admission.Transport.
func (c coordinators) Ask(router string, r admission.Request) {
	c.r.node.SendAdmissionRequest(router, r)
}

// Release implements admission.Transport.
func (c coordinators) Release(router, service string, id uint64, u admission.Usage) {
	c.r.node.Release(router, service, id, u)
}

// Cancel implements admission.Transport.
func (c coordinators) Cancel(router, service string, id uint64) {
	c.r.node.Cancel(router, service, id)
}

// requests implements mesh.Admission.
type requests struct{ r *Router }

// Submit implements mesh.Admission. A request that cannot be decided on is replied to also.
func (q requests) Submit(r admission.Request) {
	reply, _ := q.r.coordinator.Submit(r)
	q.r.node.SendAdmissionReply(r.Router, reply)
}

// Receive implements mesh.Admission.
func (q requests) Receive(reply admission.Reply) { q.r.admission.Receive(reply) }

// Release implements mesh.Admission. The load in the answer is newer than that in
// heartbeats.
func (q requests) Release(e mesh.EndedRequest, u admission.Usage) {
	if replica, ok := q.r.table.Find(u.Replica); ok && u.Slots > 0 {
		replica.ReportLoad(q.r.clock.Now(), u.Running+u.Waiting)
	}
	q.r.coordinator.Release(e.Service, e.Router, e.Incarnation, e.ID, u)
}

// Cancel implements mesh.Admission.
func (q requests) Cancel(e mesh.EndedRequest) {
	q.r.coordinator.Cancel(e.Service, e.Router, e.Incarnation, e.ID)
}

// countAdmission registers gauges of what the coordinator has done and holds.
func (r *Router) countAdmission() {
	for name, figure := range map[string]func(s admission.CoordinatorStats) float64{
		"peridotusher_admission_held":                             func(s admission.CoordinatorStats) float64 { return float64(s.Held) },
		"peridotusher_admission_waiting":                          func(s admission.CoordinatorStats) float64 { return float64(s.Waiting) },
		"peridotusher_admission_leases_expired_total":             func(s admission.CoordinatorStats) float64 { return float64(s.Expired) },
		`peridotusher_admission_decisions_total{state="granted"}`: func(s admission.CoordinatorStats) float64 { return float64(s.Grants) },
		`peridotusher_admission_decisions_total{state="refused"}`: func(s admission.CoordinatorStats) float64 { return float64(s.Refusals) },
		`peridotusher_admission_decisions_total{state="waiting"}`: func(s admission.CoordinatorStats) float64 { return float64(s.Waits) },
	} {
		r.set.NewGauge(name, func() float64 { return figure(r.coordinator.Stats()) })
	}
}
