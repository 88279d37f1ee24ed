package rows

import (
	"fmt"
	"strings"

	"pitchfield/internal/statement"
)

// Literal writes the value of a parameter as an SQL literal. Quotes in a text are doubled, so it can't end its literal
// early.
func Literal(p Parameter) (string, error) {
	if p.Null {
		return "NULL", nil
	}
	text, err := Format(p.Type, p.Value)
	if err != nil {
		return "", err
	}
	switch p.Kind {
	case Bit, Int8, Int16, Int32, Int64, Decimal, Money, SmallMoney, Bytes:
		return text, nil
	case Float32, Float64:
		if !strings.Contains(text, "e") {
			text += "e0" // without an exponent it would be an integer or a decimal
		}
		return text, nil
	case Text:
		return "N'" + strings.ReplaceAll(text, "'", "''") + "'", nil
	}
	return "'" + text + "'", nil
}

// Inline replaces the names of parameters in the text of a statement by literals, for engines that don't support
// parameters. Names are matched without regard to case; those in strings, quoted names and comments are left alone. The
// tokens around a literal keep their meaning: it is separated from what it would join, and an operator that binds more
// tightly than the sign of a number applies to the whole number.
func Inline(text string, parameters []Parameter) (string, error) {
	var out strings.Builder
	err := EachInlinedPart(text, parameters, func(part string) { out.WriteString(part) })
	if err != nil {
		return "", err
	}
	return out.String(), nil
}

// InlinedSize returns the number of bytes of the text that Inline returns, without building it: a parameter that is named many
// times makes it far larger than the statement.
func InlinedSize(text string, parameters []Parameter) (size int, err error) {
	err = EachInlinedPart(text, parameters, func(part string) { size += len(part) })
	return size, err
}

// EachInlinedPart calls write with each part of the text that Inline returns, in order.
func EachInlinedPart(text string, parameters []Parameter, write func(part string)) error {
	literals, err := literalsByName(parameters)
	if err != nil {
		return err
	}
	if len(literals) == 0 {
		write(text)
		return nil
	}
	copied := 0
	tokens := statement.NewTokenizer(text)
	for {
		token, more := tokens.Next()
		if !more {
			break
		}
		literal, found := literals[strings.ToLower(token.Text)]
		if !found || token.Quoted {
			continue
		}
		if next, follows := tokens.Peek(); follows && isNegative(literal) && bindsTighterThanSign(next) {
			literal = "(" + literal + ")"
		}
		write(text[copied:token.Start])
		if joinsBefore(text[:token.Start], literal) {
			write(" ")
		}
		write(literal)
		if joinsBehind(text[token.End:]) {
			write(" ")
		}
		copied = token.End
	}
	write(text[copied:])
	return nil
}

// literalsByName returns the literals of parameters by their names in lower case.
func literalsByName(parameters []Parameter) (map[string]string, error) {
	literals := make(map[string]string, len(parameters))
	for _, p := range parameters {
		literal, err := Literal(p)
		if err != nil {
			return nil, fmt.Errorf("parameter %s: %w", p.Name, err)
		}
		literals[strings.ToLower(p.Name)] = literal
	}
	return literals, nil
}

// isNegative reports whether a literal is a number with a sign.
func isNegative(literal string) bool { return strings.HasPrefix(literal, "-") }

// bindsTighterThanSign reports whether an operator begins with the token that applies to the digits before it without
// their sign: in Transact-SQL -6 / 4 is -(6 / 4), and elsewhere -6::text is -(6::text).
func bindsTighterThanSign(token statement.Token) bool {
	return !token.Quoted && strings.Contains("*/%:", token.Text)
}

// joinsBefore reports whether a literal would form another token with the end of the text before it: a longer string or
// number, or a comment or operator with the sign of a number.
func joinsBefore(before, literal string) bool {
	if before == "" {
		return false
	}
	last := rune(before[len(before)-1])
	return strings.ContainsRune(joiningBytes, last) || isNegative(literal) && !strings.ContainsRune(" \t\r\n(", last)
}

// joinsBehind reports whether a literal would form another token with the beginning of the text behind it.
func joinsBehind(behind string) bool {
	return behind != "" && strings.ContainsRune(joiningBytes, rune(behind[0]))
}

// joiningBytes join a literal that directly follows or precedes one of them: a string continues after a doubled quote, a
// number after a point. Letters and digits need no care: next to them a name is no parameter.
const joiningBytes = `'".`
