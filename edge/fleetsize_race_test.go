//go:build race

package edge

// largeFleetSize is smaller than without the race detector, whose runtime sometimes fails an
// internal check with the goroutines of 82 routers.
const largeFleetSize = 30
