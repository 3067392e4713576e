//go:build !race

package edge

// largeFleet is the number of routers of a large fleet in memory.
const largeFleet = 82
