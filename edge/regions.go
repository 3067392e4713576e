package edge

import (
	"strings"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher/ini"
)

// zoneRegions parses the regions of availability zones. An empty text defines none.
var zoneRegions = ini.NewParser("a comma-separated list of zone:region", func(text string) (map[string]string, error) {
	regions := make(map[string]string)
	for part := range strings.SplitSeq(text, ",") {
		zone, region, ok := strings.Cut(strings.TrimSpace(part), ":")
		switch {
		case zone == "" && !ok:
			continue // the list is empty or ends with a comma
		case zone == "" || region == "":
			return nil, errors.Newf("has the invalid item %q", part)
		case regions[zone] != "" && regions[zone] != region:
			return nil, errors.Newf("assigns two regions to zone %s", zone)
		}
		regions[zone] = region
	}
	return regions, nil
})
