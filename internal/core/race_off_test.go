//go:build !race

package core

// raceDetector tells whether the tests were built with it.
const raceDetector = false
