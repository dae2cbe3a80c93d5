//go:build race

package core

// raceDetector reports whether the tests were built with the race detector.
const raceDetector = true
