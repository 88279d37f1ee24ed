// Package assign says which batch a statement is, for protocols that do not say it themselves: its service group, key,
// mark, time limit, cost and memory, from a leading comment, else from rules, else by a default. It is pure: what is
// told and the rules decide.
package assign

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"pitchfield/internal/clients"
	"pitchfield/internal/traffic"
)

// BatchProperties are what a rule, or a comment, says of a batch. What is empty or 0 is not said.
type BatchProperties struct {
	Group, Client string
	Key           string  // {login}, {application} and {database} in it stand for the session's
	Limit         float64 // seconds that the client waits
	Cost, Memory  float64 // seconds of work and MB
}

// StatementInfo is what is known of a statement and its session.
type StatementInfo struct{ Login, Application, Database, Command string }

// Rule gives terms to what it matches. Patterns may hold *, and case does not count; empty ones match all.
type Rule struct {
	Login, Application, Database string
	Commands                     []string // the first word of the statement; none: any
	BatchProperties
}

// Rules are asked in order; the first that matches decides.
type Rules struct {
	List        []Rule
	Default     *BatchProperties // nil: what no rule matches is an error
	KnownGroups map[string]bool  // that there are; nil: any
}

// ErrNoRule says that no rule matches and there is no default.
var ErrNoRule = errors.New("no rule of this router says which service group this statement belongs to, and it has no default")

const (
	commentPrefix   = "pitchfield"
	maxCommentBytes = 4096 // bytes of a comment that are looked at
	maxKeyBytes     = 64
	maxQuantity     = 1e7 // seconds, MB: no engine has so much
	maxLimitSeconds = 24 * 3600
)

// Assign fills in what a batch is.
func (r *Rules) Assign(about StatementInfo, text string, into *traffic.Batch) error {
	terms := BatchProperties{}
	for i := range r.List {
		if r.List[i].matches(about) {
			terms = r.List[i].BatchProperties
			break
		}
	}
	if terms.Group == "" && r.Default != nil {
		terms = *r.Default
	}
	key := terms.Key
	if strings.Contains(key, "{") {
		key = strings.NewReplacer("{login}", about.Login, "{application}", about.Application, "{database}", about.Database).Replace(key)
	}
	mark, err := parseComment(text, &terms, &key)
	if err != nil {
		return err
	}
	if terms.Group == "" {
		return ErrNoRule
	}
	if r.KnownGroups != nil && !r.KnownGroups[terms.Group] {
		return fmt.Errorf("no such service group: %.40q", terms.Group)
	}
	into.Group, into.IdempotencyKey, into.TimeLeft, into.Cost, into.Memory = terms.Group, mark, terms.Limit, terms.Cost, terms.Memory
	if terms.Client != "" {
		into.Client = terms.Client
	}
	into.OrderKey = clients.HashOrderKey(key)
	return nil
}

func (r *Rule) matches(a StatementInfo) bool {
	if len(r.Commands) > 0 {
		found := false
		for _, f := range r.Commands {
			found = found || strings.EqualFold(f, a.Command)
		}
		if !found {
			return false
		}
	}
	return Match(r.Login, a.Login) && Match(r.Application, a.Application) && Match(r.Database, a.Database)
}

// Match tells whether a text fits a pattern in which * stands for anything. An empty pattern fits all.
func Match(pattern, text string) bool {
	if pattern == "" {
		return true
	}
	parts := strings.Split(strings.ToLower(pattern), "*")
	text = strings.ToLower(text)
	if len(parts) == 1 {
		return text == parts[0]
	}
	if !strings.HasPrefix(text, parts[0]) {
		return false
	}
	text = text[len(parts[0]):]
	last := len(parts) - 1
	for _, p := range parts[1:last] {
		i := strings.Index(text, p)
		if i < 0 {
			return false
		}
		text = text[i+len(p):]
	}
	return strings.HasSuffix(text, parts[last])
}

// parseComment reads a comment of ours at the start of a text, as /* pitchfield group=upload key=depot-7 limit=9s */.
func parseComment(text string, terms *BatchProperties, key *string) (mark string, err error) {
	text = strings.TrimLeft(text, " \t\r\n")
	body, is := strings.CutPrefix(text, "/*")
	if !is {
		return "", nil
	}
	body, rest, whole := strings.Cut(body[:min(len(body), maxCommentBytes)], "*/")
	_ = rest
	words := strings.FieldsFunc(body, func(r rune) bool { return r == ' ' || r == ',' || r == '\t' || r == '\r' || r == '\n' })
	if len(words) == 0 || words[0] != commentPrefix {
		return "", nil // somebody else's
	}
	if !whole {
		return "", errors.New("the leading pitchfield comment does not end")
	}
	seen := map[string]bool{}
	for _, w := range words[1:] {
		name, value, ok := strings.Cut(w, "=")
		if !ok || value == "" || seen[name] {
			return "", fmt.Errorf("leading pitchfield comment: %.60q is not name=value, or is there twice", w)
		}
		seen[name] = true
		switch name {
		case "group":
			terms.Group = value
		case "client":
			terms.Client = value
		case "key":
			if *key = value; len(value) > maxKeyBytes {
				err = fmt.Errorf("key is longer than %d bytes", maxKeyBytes)
			}
		case "mark":
			if mark = value; !clients.IsHex(value, clients.IdempotencyKeyDigits) {
				err = fmt.Errorf("mark is not %d hex digits in lower case", clients.IdempotencyKeyDigits)
			}
		case "id": // of the router before this one
		case "limit", "wait":
			terms.Limit, err = ParseSeconds(value, maxLimitSeconds)
		case "cost":
			terms.Cost, err = ParseSeconds(value, maxQuantity)
		case "memory":
			terms.Memory, err = ParseMegabytes(value)
		default:
			err = fmt.Errorf("no such name; there are group, client, key, mark, limit, cost and memory")
		}
		if err != nil {
			return "", fmt.Errorf("leading pitchfield comment: %.60q: %w", w, err)
		}
	}
	return mark, nil
}

// ParseSeconds reads a time with its unit, above 0.
func ParseSeconds(text string, most float64) (float64, error) {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d.Seconds() > most {
		return 0, fmt.Errorf("%.40q is not a time above 0 with its unit, as 900ms or 9s, of at most %gs", text, most)
	}
	return d.Seconds(), nil
}

// ParseMegabytes reads a size in MB or GB, above 0.
func ParseMegabytes(text string) (float64, error) {
	digits, scale := strings.TrimSuffix(text, "MB"), 1.0
	if g, is := strings.CutSuffix(text, "GB"); is {
		digits, scale = g, 1024
	}
	v, err := strconv.ParseFloat(digits, 64)
	if err != nil || digits == text || math.IsNaN(v) || v <= 0 || v*scale > maxQuantity {
		return 0, fmt.Errorf("%.40q is not a size above 0 in MB or GB", text)
	}
	return v * scale, nil
}
