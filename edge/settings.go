package edge

import (
	"time"

	"peridotusher.example/peridotusher/ini"
)

// Settings are the settings of one router process.
type Settings struct {
	router routerSection
	listen listenSection
	peers  peerSection
	store  storeSection
	bounds boundSection

	admission admissionSection

	text []byte // from which the settings were parsed
}

type routerSection struct {
	name, zone string
	regions    map[string]string // by zone
	memoryMB   int
	maxFiles   int
}

type listenSection struct {
	clients, ready string
}

type peerSection struct {
	address string
	ports   []int
	seeds   []string
}

type storeSection struct {
	address string
}

type boundSection struct {
	drainTime, stopGrace   time.Duration
	retryRatio, retryExtra float64
	retryWindow            time.Duration
	maxLoadFactor          float64
	successTarget          float64
	coldOvershoot          float64
	coldSlack              float64
}

type admissionSection struct {
	mode admissionMode
	// contracts are the names of the platform's rules that are in force.
	contracts []string
}

const (
	maxDuration = time.Hour
	maxMB       = 1 << 20
	maxPort     = 1<<16 - 1
)

var routerFields = []ini.Field[routerSection]{
	{Name: "name", Required: true, Text: "Name of the router, unique in the fleet.",
		Value: ini.Of(ini.String(), func(r *routerSection) *string { return &r.name })},
	{Name: "zone", Required: true, Text: "Router's availability zone.",
		Value: ini.Of(ini.String(), func(r *routerSection) *string { return &r.zone })},
	{Name: "zones", Text: "Region of each availability zone.",
		Value: ini.Of(zoneRegions, func(r *routerSection) *map[string]string { return &r.regions })},
	{Name: "memory", Default: "256", Text: "Memory of the host, in MB.",
		Value: ini.Of(ini.Int(1, maxMB), func(r *routerSection) *int { return &r.memoryMB })},
	{Name: "files", Default: "4096", Text: "File descriptors that the process may open; half of them are for clients.",
		Value: ini.Of(ini.Int(64, maxMB), func(r *routerSection) *int { return &r.maxFiles })},
}

var listenFields = []ini.Field[listenSection]{
	{Name: "clients", Required: true, Text: "Address for clients.",
		Value: ini.Of(ini.Address(), func(l *listenSection) *string { return &l.clients })},
	{Name: "ready", Required: true, Text: "Address on which readiness is reported.",
		Value: ini.Of(ini.Address(), func(l *listenSection) *string { return &l.ready })},
}

var peerFields = []ini.Field[peerSection]{
	{Name: "address", Required: true, Text: "IP address for other routers.",
		Value: ini.Of(ini.String(), func(p *peerSection) *string { return &p.address })},
	{Name: "ports", Required: true, Text: "First and last free port for other routers, the same on all hosts.",
		Value: ini.Of(ini.List(ini.Int(1, maxPort)), func(p *peerSection) *[]int { return &p.ports })},
	{Name: "seeds", Default: "", Text: "Addresses of some other routers; their ports are not used.",
		Value: ini.Of(ini.List(ini.Address()), func(p *peerSection) *[]string { return &p.seeds })},
}

var storeFields = []ini.Field[storeSection]{
	{Name: "address", Required: true, Text: "Address of the platform's store.",
		Value: ini.Of(ini.Address(), func(s *storeSection) *string { return &s.address })},
}

var boundFields = []ini.Field[boundSection]{
	{Name: "drain", Default: "2000ms", Text: "Time within which a leaving replica stops receiving requests.",
		Value: ini.Of(ini.Duration(0, maxDuration), func(b *boundSection) *time.Duration { return &b.drainTime })},
	{Name: "stop", Default: "8s", Text: "Time from SIGTERM to SIGKILL.",
		Value: ini.Of(ini.Duration(0, maxDuration), func(b *boundSection) *time.Duration { return &b.stopGrace })},
	{Name: "ratio", Default: "0.2", Text: "Retries as a fraction of the requests to a service.",
		Value: ini.Of(ini.Float(0, 1), func(b *boundSection) *float64 { return &b.retryRatio })},
	{Name: "extra", Default: "50", Text: "Retries beyond that fraction, for the whole fleet.",
		Value: ini.Of(ini.Float(0, maxMB), func(b *boundSection) *float64 { return &b.retryExtra })},
	{Name: "window", Default: "10s", Text: "Time over which retries are counted.",
		Value: ini.Of(ini.Duration(time.Second, maxDuration), func(b *boundSection) *time.Duration { return &b.retryWindow })},
	{Name: "multiple", Default: "2", Text: "Maximum load of a replica as a multiple of the mean load.",
		Value: ini.Of(ini.Float(1, maxMB), func(b *boundSection) *float64 { return &b.maxLoadFactor })},
	{Name: "share", Default: "0.95", Text: "Fraction of a route's requests to be answered completely and in time.",
		Value: ini.Of(ini.Float(0, 1), func(b *boundSection) *float64 { return &b.successTarget })},
	{Name: "overshoot", Default: "1", Text: "Requests per second to a cold replica as a multiple of its service's rate.",
		Value: ini.Of(ini.Float(0, maxMB), func(b *boundSection) *float64 { return &b.coldOvershoot })},
	{Name: "slack", Default: "0", Text: "Further requests per second to a cold replica.",
		Value: ini.Of(ini.Float(0, maxMB), func(b *boundSection) *float64 { return &b.coldSlack })},
}

var admissionFields = []ini.Field[admissionSection]{
	{Name: "mode", Default: "auto", Text: "Shared admission to plain services: if replicas report their pace or the contracts require it (auto), for all (on) or for none (off).",
		Value: ini.Of(ini.OneOf(admitAuto, admitOn, admitOff), func(a *admissionSection) *admissionMode { return &a.mode })},
	{Name: "contracts", Default: "", Text: "Names of the platform's rules in force; some require shared admission to all plain services in mode auto.",
		Value: ini.Of(ini.List(ini.String()), func(a *admissionSection) *[]string { return &a.contracts })},
}

// Load reads the settings from a file. It returns nil settings if there are any problems.
func Load(path string) (*Settings, []ini.Problem) { return ini.Load(path, Parse) }

// Parse parses the text of a settings file.
func Parse(name string, text []byte) (*Settings, []ini.Problem) {
	file, problems := ini.Read(name, text)
	s := &Settings{text: text}
	ini.Defaults(admissionFields, &s.admission) // most files lack this section
	problems = append(problems, file.Decode(map[string]ini.Kind{
		"router": sectionKind(routerFields, &s.router),
		"listen": sectionKind(listenFields, &s.listen),
		"peers":  sectionKind(peerFields, &s.peers),
		"store":  sectionKind(storeFields, &s.store),
		"bounds": sectionKind(boundFields, &s.bounds),

		"admission": sectionKind(admissionFields, &s.admission),
	})...)
	if len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

func sectionKind[T any](fields []ini.Field[T], target *T) ini.Kind {
	return ini.Kind{Decode: func(s *ini.Section) []ini.Problem { return ini.Fill(s, fields, target) }}
}

// StoreAddress returns the address of the platform's store.
func (s *Settings) StoreAddress() string { return s.store.address }

// MemoryBytes returns the memory of the host in bytes.
func (s *Settings) MemoryBytes() int64 { return int64(s.router.memoryMB) * megabyte }

// Name returns the router's name.
func (s *Settings) Name() string { return s.router.name }

// PeerAddress returns the IP address for other routers.
func (s *Settings) PeerAddress() string { return s.peers.address }
