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

// source is the text of a file with all that it includes behind it, and where each line of it stands.
type source struct {
	text  []byte
	files []sourceFile
}

type sourceFile struct {
	path      string
	firstLine int // number of its first line in the whole, from 1
}

// position gives a line of the whole as file and line.
func (s *source) position(line int) string {
	at := sourceFile{firstLine: 1}
	for _, p := range s.files {
		if p.firstLine <= line {
			at = p
		}
	}
	return fmt.Sprintf("%s:%d", at.path, line-at.firstLine+1)
}

const maxFiles = 64

// includeLine is a key of the top of a file: further files, by paths that count from its own folder.
var includeLine = regexp.MustCompile(`^\s*include\s*=`)

// readSource reads a file and what it includes, each once.
func readSource(path string) (*source, error) {
	s := &source{}
	return s, s.add(path, nil)
}

func (s *source) add(path string, through []string) error {
	info, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if info.Size()+int64(len(s.text)) > maxTotalSize {
		return fmt.Errorf("%s: larger than %d bytes, with what includes it", path, maxTotalSize)
	}
	through = append(slices.Clone(through), filepath.Clean(path))
	first := strings.Count(string(s.text), "\n") + 1
	s.files = append(s.files, sourceFile{path, first})
	further, rest, err := extractIncludes(path, text)
	if err != nil {
		return err
	}
	s.text = append(append(s.text, rest...), '\n')
	var errs []error
	for _, f := range further {
		to := f.path
		if !filepath.IsAbs(to) {
			to = filepath.Join(filepath.Dir(path), to)
		}
		at := fmt.Sprintf("%s:%d: include: ", path, f.line)
		switch {
		case slices.Contains(through, filepath.Clean(to)):
			errs = append(errs, fmt.Errorf("%s%q includes itself: %s", at, f.path, strings.Join(append(through, filepath.Clean(to)), ", then ")))
		case slices.ContainsFunc(s.files, func(p sourceFile) bool { return filepath.Clean(p.path) == filepath.Clean(to) }):
			errs = append(errs, fmt.Errorf("%s%q is included already; each file counts once", at, f.path))
		case len(s.files) >= maxFiles:
			errs = append(errs, fmt.Errorf("%smore than %d files", at, maxFiles))
		default:
			if err := s.add(to, through); err != nil {
				errs = append(errs, err)
			}
		}
	}
	return errors.Join(errs...)
}

type includedFile struct {
	path string
	line int
}

// extractIncludes takes the includes out of a text; its lines keep their numbers.
func extractIncludes(path string, text []byte) (out []includedFile, rest []byte, err error) {
	lines := strings.Split(string(text), "\n")
	for i, line := range lines {
		if strings.HasPrefix(strings.TrimSpace(line), "[") {
			break
		}
		if !includeLine.MatchString(line) {
			continue
		}
		var one struct {
			Include []string `toml:"include"`
		}
		if toml.Unmarshal([]byte(line), &one) != nil || out != nil {
			return nil, nil, fmt.Errorf("%s:%d: include: a list of which each is text in quotes is wanted, once and on one line, not %s",
				path, i+1, valueOnLine(text, i+1))
		}
		for _, f := range one.Include {
			out = append(out, includedFile{f, i + 1})
		}
		lines[i] = ""
	}
	return out, []byte(strings.Join(lines, "\n")), nil
}
