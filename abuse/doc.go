// Package abuse tests host processes against crowds of clients that stay within the
// size limits of a request, but not within what a host can hold of all of them.
package abuse
