// Package findings declares the interface with which packages validate their section of an operator's settings file. Each
// package declares, decodes and validates its own section; package installation, which reads the file, implements the
// interface and knows lines and types but no keys.
package findings

// Reporter collects the errors in a settings file and parses the values that have the same form in all sections. Keys are full
// paths from the top of the file, such as a.b[2].c.
type Reporter interface {
	// Errorf records an error in a key, or in the table that lacks it.
	Errorf(key, format string, args ...any)
	// Seconds parses a duration above 0 and up to most seconds. It returns 0 for an empty text and after recording an error.
	Seconds(key, text string, most float64) float64
	// Megabytes parses a size. It returns 0 for an empty text and after recording an error.
	Megabytes(key, text string) float64
	// CheckRange records an error if v is not from min to max; NaN never is.
	CheckRange(key string, v, min, max float64)
	// Line returns the line number of a key, or of the nearest table around it.
	Line(key string) int
	// Getenv returns the value of an environment variable.
	Getenv(name string) string
}
