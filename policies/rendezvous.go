package policies

import "peridotusher.example/peridotusher"

// Rendezvous sends each chat to the first engine in its rendezvous order, regardless of load.
type Rendezvous struct{}

// Order implements peridotusher.Policy.
func (Rendezvous) Order(req peridotusher.Request, engines []peridotusher.Engine) []peridotusher.Engine {
	key := string(req.Chat)
	if key == "" {
		key = string(req.ID)
	}
	return peridotusher.RankEngines(key, engines)
}

// Bounded implements peridotusher.Policy.
func (Rendezvous) Bounded() bool { return false }
