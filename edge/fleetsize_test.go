//go:build !race

package edge

// largeFleetSize is the number of routers in the tests of a large fleet.
const largeFleetSize = 82
