// Package assign decides the properties of a batch (service group, key, mark, time limit, cost and memory) for protocols
// that don't carry them. They come from a leading comment of the statement, else from the operator's rules, else from a
// default. The result depends only on the statement, its session and the rules.
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

// BatchProperties are what a rule or a comment sets for a batch. Empty strings and zeros are not set.
type BatchProperties struct {
	Group, Client string
	Key           string  // {login}, {application} and {database} in a rule's key are replaced by the session's values
	Limit         float64 // seconds that the client waits
	Cost, Memory  float64 // seconds of work and MB
}

// StatementInfo describes a statement and the session that it came in. Command is the first word of the statement.
type StatementInfo struct{ Login, Application, Database, Command string }

// Rule sets properties for the statements that it matches. Patterns may contain *, which matches any text; they ignore
// case, and an empty one matches everything.
type Rule struct {
	Login, Application, Database string
	Commands                     []string // first words of statements that match; empty: any
	BatchProperties
}

// Rules are tried in order; the first that matches applies. The default applies if no rule matches, or if the rule that
// does names no group.
type Rules struct {
	List        []Rule
	Default     *BatchProperties // nil: a statement that no rule matches is an error
	KnownGroups map[string]bool  // service groups that exist; nil: not checked
}

// ErrNoRule means that no rule and no comment names a service group and there is no default.
var ErrNoRule = errors.New("no rule of this router says which service group this statement belongs to, and it has no default")

const (
	commentPrefix   = "pitchfield" // first word of a comment that is meant for the router
	maxCommentBytes = 4096         // bytes of the statement after its leading /* in which the comment has to end
	maxKeyBytes     = 64
	maxQuantity     = 1e7 // seconds of work, or MB of memory; no engine has as much
	maxLimitSeconds = 24 * 3600
)

// Assign sets the group, key, mark, time limit, cost, memory and, if one is named, client of a batch. It returns
// ErrNoRule, or an error that describes what is wrong with the leading comment or with the service group; the batch is
// unchanged then.
func (r *Rules) Assign(info StatementInfo, text string, into *traffic.Batch) error {
	properties := BatchProperties{}
	for i := range r.List {
		if r.List[i].matches(info) {
			properties = r.List[i].BatchProperties
			break
		}
	}
	if properties.Group == "" && r.Default != nil {
		properties = *r.Default
	}
	key := properties.Key
	if strings.Contains(key, "{") {
		key = strings.NewReplacer("{login}", info.Login, "{application}", info.Application, "{database}", info.Database).Replace(key)
	}
	mark, err := parseComment(text, &properties, &key)
	if err != nil {
		return err
	}
	if properties.Group == "" {
		return ErrNoRule
	}
	if r.KnownGroups != nil && !r.KnownGroups[properties.Group] {
		return fmt.Errorf("no such service group: %.40q", properties.Group)
	}
	into.Group, into.IdempotencyKey, into.TimeLeft, into.Cost, into.Memory = properties.Group, mark, properties.Limit, properties.Cost, properties.Memory
	if properties.Client != "" {
		into.Client = properties.Client
	}
	into.OrderKey = clients.HashOrderKey(key)
	return nil
}

// matches reports whether the rule applies to a statement.
func (r *Rule) matches(a StatementInfo) bool {
	if len(r.Commands) > 0 {
		found := false
		for _, command := range r.Commands {
			found = found || strings.EqualFold(command, a.Command)
		}
		if !found {
			return false
		}
	}
	return Match(r.Login, a.Login) && Match(r.Application, a.Application) && Match(r.Database, a.Database)
}

// Match reports whether a text matches a pattern in which * matches any text. Case is ignored. An empty pattern matches
// everything.
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

// parseComment reads a leading comment such as /* pitchfield group=upload key=depot-7 limit=9s */ into properties and key,
// and returns its mark. It does nothing if the text does not start with a comment whose first word is commentPrefix.
func parseComment(text string, properties *BatchProperties, key *string) (mark string, err error) {
	text = strings.TrimLeft(text, " \t\r\n")
	body, found := strings.CutPrefix(text, "/*")
	if !found {
		return "", nil
	}
	body, rest, closed := strings.Cut(body[:min(len(body), maxCommentBytes)], "*/")
	_ = rest
	words := strings.FieldsFunc(body, func(r rune) bool { return r == ' ' || r == ',' || r == '\t' || r == '\r' || r == '\n' })
	if len(words) == 0 || words[0] != commentPrefix {
		return "", nil // a comment that is not meant for the router
	}
	if !closed {
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
			properties.Group = value
		case "client":
			properties.Client = value
		case "key":
			if *key = value; len(value) > maxKeyBytes {
				err = fmt.Errorf("key is longer than %d bytes", maxKeyBytes)
			}
		case "mark":
			if mark = value; !clients.IsHex(value, clients.IdempotencyKeyDigits) {
				err = fmt.Errorf("mark is not %d hex digits in lower case", clients.IdempotencyKeyDigits)
			}
		case "id": // added by another router in front of this one; ignored
		case "limit", "wait":
			properties.Limit, err = ParseSeconds(value, maxLimitSeconds)
		case "cost":
			properties.Cost, err = ParseSeconds(value, maxQuantity)
		case "memory":
			properties.Memory, err = ParseMegabytes(value)
		default:
			err = fmt.Errorf("no such name; there are group, client, key, mark, limit, cost and memory")
		}
		if err != nil {
			return "", fmt.Errorf("leading pitchfield comment: %.60q: %w", w, err)
		}
	}
	return mark, nil
}

// ParseSeconds parses a duration with a unit, as 900ms or 9s, into seconds. It must be above 0 and at most limit seconds.
func ParseSeconds(text string, limit float64) (float64, error) {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d.Seconds() > limit {
		return 0, fmt.Errorf("%.40q is not a time above 0 with its unit, as 900ms or 9s, of at most %gs", text, limit)
	}
	return d.Seconds(), nil
}

// ParseMegabytes parses a size in MB or GB into MB (1 GB is 1024 MB). It must be above 0 and at most maxQuantity.
func ParseMegabytes(text string) (float64, error) {
	digits, scale := strings.TrimSuffix(text, "MB"), 1.0
	if g, found := strings.CutSuffix(text, "GB"); found {
		digits, scale = g, 1024
	}
	v, err := strconv.ParseFloat(digits, 64)
	if err != nil || digits == text || math.IsNaN(v) || v <= 0 || v*scale > maxQuantity {
		return 0, fmt.Errorf("%.40q is not a size above 0 in MB or GB", text)
	}
	return v * scale, nil
}
