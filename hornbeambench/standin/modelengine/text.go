package modelengine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Word returns the n-th word, from 1, of the answer to a prompt.
func Word(prompt string, n int) string {
	sum := xxhash.Sum64String(prompt + "#" + strconv.Itoa(n))
	word := "w" + strconv.FormatUint(sum%1_000_000, 36)
	if n == 1 {
		return word
	}
	return " " + word
}

// Answer returns the whole answer of n tokens to a prompt, so that a caller can verify what it received.
func Answer(prompt string, n int) string {
	var text strings.Builder
	for i := 1; i <= n; i++ {
		text.WriteString(Word(prompt, i))
	}
	return text.String()
}

// Prompt returns the prompt of a request with one user message.
func Prompt(content string) string { return "user:" + content + "\n" }

// tokens counts the tokens of a text: its words.
func tokens(text string) int { return len(strings.Fields(text)) }
