package installation

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// source is the text of a file followed by those of all files that it includes, and the origin of each line.
type source struct {
	text  []byte
	files []sourceFile
}

// sourceFile is one file in a source.
type sourceFile struct {
	path      string
	firstLine int // line number in the whole text, from 1
}

// position returns a line number of the whole text as file:line.
func (s *source) position(line int) string {
	file := sourceFile{firstLine: 1}
	for _, f := range s.files {
		if f.firstLine <= line {
			file = f
		}
	}
	return fmt.Sprintf("%s:%d", file.path, line-file.firstLine+1)
}

// maxFiles is the largest number of files in a source.
const maxFiles = 64

// includeLine matches the key include, which stands before the first table of a file and lists further files. Relative paths are
// relative to the folder of the file.
var includeLine = regexp.MustCompile(`^\s*include\s*=`)

// readSource reads a file and the files that it includes, directly or not.
func readSource(path string) (*source, error) {
	s := &source{}
	return s, s.add(path, nil)
}

// add appends a file and the files that it includes. chain holds the paths of the files through which it was included.
func (s *source) add(path string, chain []string) error {
	info, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if info.Size()+int64(len(s.text)) > maxTotalSize {
		return fmt.Errorf("%s: larger than %d bytes together with the files read before it", path, maxTotalSize)
	}
	chain = append(slices.Clone(chain), filepath.Clean(path))
	first := strings.Count(string(s.text), "\n") + 1
	s.files = append(s.files, sourceFile{path, first})
	includes, rest, err := extractIncludes(path, text)
	if err != nil {
		return err
	}
	s.text = append(append(s.text, rest...), '\n')
	var errs []error
	for _, include := range includes {
		target := include.path
		if !filepath.IsAbs(target) {
			target = filepath.Join(filepath.Dir(path), target)
		}
		prefix := fmt.Sprintf("%s:%d: include: ", path, include.line)
		switch {
		case slices.Contains(chain, filepath.Clean(target)):
			errs = append(errs, fmt.Errorf("%s%q includes itself: %s", prefix, include.path, strings.Join(append(chain, filepath.Clean(target)), ", then ")))
		case slices.ContainsFunc(s.files, func(f sourceFile) bool { return filepath.Clean(f.path) == filepath.Clean(target) }):
			errs = append(errs, fmt.Errorf("%s%q is included already; a file may be included only once", prefix, include.path))
		case len(s.files) >= maxFiles:
			errs = append(errs, fmt.Errorf("%smore than %d files", prefix, maxFiles))
		default:
			if err := s.add(target, chain); err != nil {
				errs = append(errs, err)
			}
		}
	}
	return errors.Join(errs...)
}

// includedFile is an entry of an include list and the line on which it stands.
type includedFile struct {
	path string
	line int
}

// extractIncludes returns the files that a text includes, and the text with the include line blanked so that line numbers stay
// the same.
func extractIncludes(path string, text []byte) (files []includedFile, rest []byte, err error) {
	lines := strings.Split(string(text), "\n")
	for i, line := range lines {
		if strings.HasPrefix(strings.TrimSpace(line), "[") {
			break
		}
		if !includeLine.MatchString(line) {
			continue
		}
		var parsed struct {
			Include []string `toml:"include"`
		}
		if toml.Unmarshal([]byte(line), &parsed) != nil || files != nil {
			return nil, nil, fmt.Errorf("%s:%d: include: a list of which each is text in quotes is wanted, once and on one line, not %s",
				path, i+1, valueOnLine(text, i+1))
		}
		for _, included := range parsed.Include {
			files = append(files, includedFile{included, i + 1})
		}
		lines[i] = ""
	}
	return files, []byte(strings.Join(lines, "\n")), nil
}
