package entry

import (
	"fmt"
	"net"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/operator"
)

// operatorServer returns the server for operators.
func (h *Host) operatorServer() *operator.Server {
	return &operator.Server{
		Listener:   h.Operator,
		Address:    h.operatorAddress(),
		Metrics:    h.metrics,
		KeyHash:    h.OperatorKey,
		Self:       peridotusher.RouterID(h.Name),
		Zone:       peridotusher.Zone(h.Zone),
		Started:    h.started,
		Members:    h.members,
		Engines:    h.engines,
		Ledger:     h.ledger,
		Placer:     h.ingress.Placer,
		Burn:       h.burn,
		Placements: h.owner.Placements,
		Peers:      h.node,
		Document:   h.Document,
		Stop:       h.stop,
	}
}

// operatorAddress returns where operators reach this router: the listener's
// address, with the IP of the peer address if it listens on all addresses.
func (h *Host) operatorAddress() string {
	listen := h.Operator.Addr().String()
	host, port, err := net.SplitHostPort(listen)
	if err != nil || !net.ParseIP(host).IsUnspecified() {
		return listen
	}
	peerHost, _, err := net.SplitHostPort(h.Address)
	if err != nil {
		return listen
	}
	return net.JoinHostPort(peerHost, port)
}

// buildOperator creates the metrics and the burn rates of the error budgets.
func (h *Host) buildOperator() {
	h.started = h.Clock.Now()
	h.burn = peridotusher.NewBurn(h.Clock, peridotusher.MaxBurnSeries)
	h.metrics = operator.NewMetrics(h.Clock)
	h.metrics.AddSource(h.writeMetrics)
}

// record adds one finished request to the metrics and to the burn rates.
func (h *Host) record(out caller.Outcome) {
	h.metrics.Record(out)
	doc := h.Document()
	if doc == nil {
		return
	}
	o, class, ok := serviceLevel(doc, out)
	if !ok {
		return
	}
	h.burn.SetObjective(o.Class, class)
	h.burn.Record(o)
}

// serviceLevel returns a request's outcome for the error budget, the objective of
// its class, and whether the request counts at all.
func serviceLevel(doc *document.Document, out caller.Outcome) (peridotusher.Outcome, float64, bool) {
	org, ok := doc.Organisation(out.Organisation)
	if !ok || out.Cause != "" && !peridotusher.CountsAgainstBudget(out.Cause) {
		return peridotusher.Outcome{}, 0, false
	}
	o := peridotusher.Outcome{
		Organisation: out.Organisation,
		Class:        servicePrefix + out.Service,
		Value:        org.RequestValue(),
		Good:         out.Complete && out.InTime,
	}
	objective := serviceObjective
	if class, ok := doc.Class(out.Class); ok {
		o.Class = class.Name()
		objective = class.Objective()
	}
	o.Objective = objective
	if org.Objective() > 0 {
		o.Objective = org.Objective()
	}
	return o, objective, true
}

const (
	// serviceObjective is the target share of calls to plain services that are
	// answered completely and in time.
	serviceObjective = 0.999
	servicePrefix    = "service "
)

// writeMetrics writes the metrics that are read from the host's tables at each
// scrape.
func (h *Host) writeMetrics(w *operator.Writer) {
	h.writeMembers(w)
	h.writeLoads(w)
	h.writeDecisions(w)
}

// writeDecisions writes the number of permit decisions by kind and of requests
// waiting for one.
func (h *Host) writeDecisions(w *operator.Writer) {
	d := h.owner.Decisions()
	w.Counter(`peridotusher_permit_decisions_total{decision="granted"}`, d.Granted)
	w.Counter(`peridotusher_permit_decisions_total{decision="queued"}`, d.Queued)
	w.Counter(`peridotusher_permit_decisions_total{decision="moved"}`, d.Redirected)
	w.Counter(`peridotusher_permit_decisions_total{decision="refused"}`, d.Refused)
	waiting := 0
	for _, id := range h.owner.Queue.Engines() {
		waiting += h.owner.Queue.Len(id)
	}
	w.Gauge("peridotusher_waiting", float64(waiting))
}

func (h *Host) writeMembers(w *operator.Writer) {
	byState := map[peridotusher.MemberState]int{}
	for _, m := range h.members.All() {
		byState[m.State()]++
	}
	for _, state := range []peridotusher.MemberState{peridotusher.MemberProposed, peridotusher.MemberLive, peridotusher.MemberSuspect, peridotusher.MemberLeaving} {
		w.Gauge(fmt.Sprintf(`peridotusher_members{state=%q}`, state), float64(byState[state]))
	}
}

// writeLoads writes the permits and work of the owned engines, and the load skew
// over all live engines: the highest load divided by the mean.
func (h *Host) writeLoads(w *operator.Writer) {
	permits, work := 0, 0
	for _, l := range h.ledger.Loads() {
		permits += l.Permits
		work += l.Work
	}
	w.Gauge("peridotusher_owned_permits", float64(permits))
	w.Gauge("peridotusher_owned_work_units", float64(work))
	highest, sum, n := 0, 0, 0
	byState := map[peridotusher.EngineState]int{}
	for _, e := range h.engines.All() {
		byState[e.State()]++
		if e.State() != peridotusher.EngineLive {
			continue
		}
		load := h.ledger.Work(e.ID())
		highest = max(highest, load)
		sum += load
		n++
	}
	for _, state := range []peridotusher.EngineState{peridotusher.EngineLive, peridotusher.EngineLeaving, peridotusher.EngineEjected} {
		w.Gauge(fmt.Sprintf(`peridotusher_engines{state=%q}`, state), float64(byState[state]))
	}
	if sum > 0 {
		w.Gauge("peridotusher_load_skew", float64(highest)*float64(n)/float64(sum))
	}
}
