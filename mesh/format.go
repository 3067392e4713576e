package mesh

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// format is the version of the message format between routers. It is incremented with each
// change that routers of the previous version would misread; a new field that they may
// ignore does not need that. Routers of different formats, as in a rolling upgrade, know of each
// other but exchange no state: the routers of each format read the store themselves.
const format = 3

// errFormat is returned by a fetch from a router of another format.
var errFormat = errors.New("the router uses another message format")

// sameFormat removes the routers of other formats from a list.
func sameFormat(all []*member) []*member {
	return slices.DeleteFunc(all, func(peer *member) bool { return peer.format != format })
}
