// Package version holds the release that a binary was built from.
package version

// Release is the semantic version of this source tree.
const Release = "0.1.0"
