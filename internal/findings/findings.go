// Package findings is what a section of an operator's settings is proven with. Each package declares, decodes and proves its own
// section; what gathers the file knows lines and words, and no key.
package findings

// Reporter is told what is wrong, and reads what is worded alike in all sections. Keys are written as a.b[2].c, from the file's top.
type Reporter interface {
	// Found notes what is wrong with a key, or with the table that lacks it.
	Errorf(key, format string, args ...any)
	// Seconds reads a duration above 0 and up to the most; 0 where nothing is told.
	Seconds(key, text string, most float64) float64
	// Megabytes reads a size; 0 where nothing is told.
	Megabytes(key, text string) float64
	// Within finds what is out of bounds; a figure that is none is.
	CheckRange(key string, v, least, most float64)
	// Line is where a key stands, or the nearest table around it.
	Line(key string) int
	// Getenv gives a variable of the environment.
	Getenv(name string) string
}
