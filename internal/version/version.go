// Package version states what this build is.
package version

// String is the version of this build, as "shedhoist version" prints it.
const String = "0.1.0"
