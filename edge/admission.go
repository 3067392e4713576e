package edge

import (
	"time"

	"peridotusher.example/peridotusher/admission"
	"peridotusher.example/peridotusher/mesh"
	"peridotusher.example/peridotusher/replicas"
)

// admissionMode selects the services whose requests acquire slots from a coordinator.
type admissionMode string

// The modes: services whose replicas report their pace (slowdown factor), all plain services, none.
const (
	admitAuto admissionMode = "auto"
	admitOn   admissionMode = "on"
	admitOff  admissionMode = "off"
)

// coordinatorTopic is the prefix of the topic that determines the coordinator of a service.
const coordinatorTopic = "admission/"

// initAdmission sets up the coordinator, which serves other routers whatever this router's mode
// is, and makes requests acquire slots unless the mode is off.
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
		Transport: admissionTransport{r}, LocalCoordinator: r.coordinator, KnowsReplica: r.knowsReplica,
	}
	r.node.Admission = admissionHandler{r}
	mode := r.Settings.admission.mode
	if mode == admitOff {
		return
	}
	r.proxy.Admission = r.admission
	contracts := r.Settings.admission.contracts
	r.proxy.AlwaysAdmit = mode == admitOn || r.SharesCapacity != nil && r.SharesCapacity(contracts)
}

// knowsReplica reports whether the replica with this hash is in the table.
func (r *Router) knowsReplica(hash uint32) bool {
	_, ok := r.table.Find(hash)
	return ok
}

// available returns the replicas of a service that may receive requests now.
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
		out = append(out, availableReplica(now, replica))
	}
	return out
}

func availableReplica(now time.Time, r *replicas.Replica) admission.AvailableReplica {
	return admission.AvailableReplica{Hash: r.Hash(), Zone: r.Zone(), Slots: r.Slots(), Load: r.LatestLoad(now), Pace: r.Pace(now)}
}

// sendReply sends the reply to an admission request to its router, possibly this one.
func (r *Router) sendReply(router string, reply admission.Reply) {
	if router == r.node.Self.Name {
		r.admission.Receive(reply)
		return
	}
	r.node.SendAdmissionReply(router, reply)
}

// admissionTransport implements admission.Transport over the mesh.
type admissionTransport struct{ r *Router }

// Coordinator implements admission.Transport.
func (t admissionTransport) Coordinator(service string) (router string, self, ok bool) {
	return t.r.node.FirstRouter(coordinatorTopic+service, t.r.stopping.Load() == nil)
}

// Ask implements admission.Transport.
func (t admissionTransport) Ask(router string, r admission.Request) {
	t.r.node.SendAdmissionRequest(router, r)
}

// Release implements admission.Transport.
func (t admissionTransport) Release(router, service string, id uint64, u admission.Usage) {
	t.r.node.Release(router, service, id, u)
}

// Cancel implements admission.Transport.
func (t admissionTransport) Cancel(router, service string, id uint64) {
	t.r.node.Cancel(router, service, id)
}

// admissionHandler implements mesh.Admission with the router's coordinator.
type admissionHandler struct{ r *Router }

// Submit implements mesh.Admission. The reply is sent even if the coordinator cannot decide.
func (h admissionHandler) Submit(r admission.Request) {
	reply, _ := h.r.coordinator.Submit(r)
	h.r.node.SendAdmissionReply(r.Router, reply)
}

// Receive implements mesh.Admission.
func (h admissionHandler) Receive(reply admission.Reply) { h.r.admission.Receive(reply) }

// Release implements mesh.Admission. The load that the answer reported is newer than the load in
// heartbeats.
func (h admissionHandler) Release(e mesh.EndedRequest, u admission.Usage) {
	if replica, ok := h.r.table.Find(u.Replica); ok && u.Slots > 0 {
		replica.ReportLoad(h.r.clock.Now(), u.Running+u.Waiting)
	}
	h.r.coordinator.Release(e.Service, e.Router, e.Incarnation, e.ID, u)
}

// Cancel implements mesh.Admission.
func (h admissionHandler) Cancel(e mesh.EndedRequest) {
	h.r.coordinator.Cancel(e.Service, e.Router, e.Incarnation, e.ID)
}

// registerAdmissionMetrics registers gauges for the coordinator's statistics.
func (r *Router) registerAdmissionMetrics() {
	for name, value := range map[string]func(s admission.CoordinatorStats) float64{
		"peridotusher_admission_held":                             func(s admission.CoordinatorStats) float64 { return float64(s.Held) },
		"peridotusher_admission_waiting":                          func(s admission.CoordinatorStats) float64 { return float64(s.Waiting) },
		"peridotusher_admission_leases_expired_total":             func(s admission.CoordinatorStats) float64 { return float64(s.Expired) },
		`peridotusher_admission_decisions_total{state="granted"}`: func(s admission.CoordinatorStats) float64 { return float64(s.Grants) },
		`peridotusher_admission_decisions_total{state="refused"}`: func(s admission.CoordinatorStats) float64 { return float64(s.Refusals) },
		`peridotusher_admission_decisions_total{state="waiting"}`: func(s admission.CoordinatorStats) float64 { return float64(s.Waits) },
	} {
		r.metricSet.NewGauge(name, func() float64 { return value(r.coordinator.Stats()) })
	}
}
