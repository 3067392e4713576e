package settings

import (
	"peridotusher.example/peridotusher/ini"
)

// Settings are the settings of one router process. They don't change while it runs.
type Settings struct {
	router   Router
	caller   Caller
	operator Operator
	peer     Peer
	store    Store
	hosts    Hosts
	weights  Weights
	stream   Stream
}

// Router returns the settings of the process itself.
func (s *Settings) Router() Router { return s.router }

// Caller returns the settings of the listener for callers.
func (s *Settings) Caller() Caller { return s.caller }

// Operator returns the settings of the listener for operators.
func (s *Settings) Operator() Operator { return s.operator }

// Peer returns the settings of the links to other routers.
func (s *Settings) Peer() Peer { return s.peer }

// Store returns the settings of the platform's key-value service.
func (s *Settings) Store() Store { return s.store }

// Hosts returns the settings of the platform's host list.
func (s *Settings) Hosts() Hosts { return s.hosts }

// Weights returns the settings of the platform's weight store.
func (s *Settings) Weights() Weights { return s.weights }

// Stream returns the settings of event streams.
func (s *Settings) Stream() Stream { return s.stream }

// Load reads the settings from a file. It returns no settings if there is any problem.
func Load(path string) (*Settings, []ini.Problem) { return ini.Load(path, Parse) }

// Parse reads the settings from a text; name is the file name in the
// problems. It returns no settings if there is any problem.
func Parse(name string, text []byte) (*Settings, []ini.Problem) {
	file, problems := ini.Read(name, text)
	s := &Settings{}
	tables := s.tables()
	problems = append(problems, file.Decode(sectionKinds(tables))...)
	problems = append(problems, missingSections(file, tables)...)
	problems = append(problems, s.check(file, problems)...)
	if len(problems) > 0 {
		ini.Sort(problems)
		return nil, problems
	}
	return s, nil
}

func sectionKinds(tables []table) map[string]ini.Kind {
	kinds := make(map[string]ini.Kind, len(tables))
	for _, t := range tables {
		kinds[t.name] = ini.Kind{Decode: t.decode}
	}
	return kinds
}

// missingSections returns a problem for each absent section; all sections are required.
func missingSections(file *ini.File, tables []table) []ini.Problem {
	present := map[string]bool{}
	for _, section := range file.Sections() {
		present[section.Header()] = true
	}
	var problems []ini.Problem
	for _, t := range tables {
		if !present[t.name] {
			problems = append(problems, ini.NewProblem(file.Name(), 0, "the section ["+t.name+"] is missing"))
		}
	}
	return problems
}
