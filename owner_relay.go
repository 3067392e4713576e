package peridotusher

import (
	"context"

	"peridotusher.example/peridotusher/document"
)

// relay forwards an ask to the engine's owner if this router considers another
// router the owner: the routers' member lists differ, or the ingress could not reach
// the owner. It reports false if this router has to decide itself.
func (o *Owner) relay(ctx context.Context, doc *document.Document, ask Ask) (Answer, bool) {
	if o.Ownership == nil || o.Peers == nil || ask.Relayed {
		return Answer{}, false
	}
	e, ok := o.Placer.Engines.Get(ask.Engine)
	if !ok {
		return Answer{}, false
	}
	owner, ok := o.Ownership.OwnerOf(ask.Engine, e.Zone())
	if !ok || owner == o.Self {
		return Answer{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, doc.Policy().OwnerTimeout()/2)
	defer cancel()
	ask.Relayed = true
	answer, err := o.Peers.Ask(ctx, owner, ask)
	if err != nil {
		return Answer{}, false
	}
	return answer, true
}
