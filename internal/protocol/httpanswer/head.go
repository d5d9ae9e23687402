package httpanswer

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of answers that are none.
var Error = errs.Class("no HTTP answer")

// maxHeadBytes bounds the heads of an answer, the provisional ones included.
const maxHeadBytes = 64 << 10

const (
	minStatus, maxStatus = 100, 599
	// switchingProtocols is the only provisional status that ends an exchange. No call asks for it.
	switchingProtocols = 101
	minFinalStatus     = 200
	// maxLengthDigits keeps lengths within an int64.
	maxLengthDigits = 18
)

// CheckHead returns an error unless a status and the names and values of fields may be those of a final answer.
func CheckHead(status int, fields http.Header) error {
	if status < minFinalStatus || status > maxStatus {
		return Error.New("status %03d", status)
	}
	for name, values := range fields {
		for _, value := range values {
			if _, _, err := checkField([]byte(name + ":" + value)); err != nil {
				return err
			}
		}
	}
	return nil
}

// HeadLength returns the length of the head with which b begins, including its blank line, or zero if b has only a
// part of it. A line may end without a carriage return. The first from bytes have no blank line.
func HeadLength(b []byte, from int) int {
	for {
		i := bytes.IndexByte(b[from:], '\n')
		if i < 0 {
			return 0
		}
		from += i + 1
		if rest := b[from:]; bytes.HasPrefix(rest, []byte("\n")) {
			return from + len("\n")
		} else if bytes.HasPrefix(rest, []byte("\r\n")) {
			return from + len("\r\n")
		}
	}
}

// checkHead checks the head of an answer, which ends with its blank line, and returns its status.
func checkHead(head []byte) (status int, err error) {
	lines := bytes.Split(head, []byte("\n"))
	lines = lines[:len(lines)-2] // without the blank line and what follows it
	for i := range lines {
		lines[i] = bytes.TrimSuffix(lines[i], []byte("\r"))
	}
	minor, status, err := checkStatusLine(lines[0])
	if err != nil {
		return 0, err
	}
	length, chunked := "", false
	for _, line := range lines[1:] {
		name, value, err := checkField(line)
		if err != nil {
			return 0, err
		}
		switch strings.ToLower(name) {
		case "content-length":
			if !validLength(value) || length != "" && length != value {
				return 0, Error.New("length %q", value)
			}
			length = value
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") || chunked || minor == 0 {
				return 0, Error.New("transfer encoding %q in HTTP/1.%d", value, minor)
			}
			chunked = true
		}
	}
	if chunked && length != "" {
		return 0, Error.New("both chunks and the length %s", length)
	}
	return status, nil
}

// checkStatusLine returns the minor version and the status of a status line.
func checkStatusLine(line []byte) (minor, status int, err error) {
	const version = "HTTP/1."
	digit := func(i int) bool { return line[i] >= '0' && line[i] <= '9' }
	const digits = len(version) + len("1 ")
	if len(line) < digits+3 || string(line[:len(version)]) != version || !digit(len(version)) || line[digits-1] != ' ' ||
		!digit(digits) || !digit(digits+1) || !digit(digits+2) || len(line) > digits+3 && line[digits+3] != ' ' {
		return 0, 0, Error.New("status line %q", shortened(line))
	}
	if i := bytes.IndexFunc(line, isControl); i >= 0 {
		return 0, 0, Error.New("control byte in status line %q", shortened(line))
	}
	status = int(line[digits]-'0')*100 + int(line[digits+1]-'0')*10 + int(line[digits+2]-'0')
	if status < minStatus || status > maxStatus || status == switchingProtocols {
		return 0, 0, Error.New("status %03d", status)
	}
	return int(line[len(version)] - '0'), status, nil
}

// checkField returns the name and the value of a line of a head.
func checkField(line []byte) (name, value string, err error) {
	before, after, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(before) == 0 || bytes.IndexFunc(before, notInToken) >= 0 {
		return "", "", Error.New("field %q", shortened(line))
	}
	if bytes.IndexFunc(after, isControl) >= 0 {
		return "", "", Error.New("control byte in field %q", shortened(line))
	}
	return string(before), strings.Trim(string(after), " \t"), nil
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == '\x7f' }

// notInToken reports whether a character must not be part of the name of a field.
func notInToken(r rune) bool {
	return (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}

func validLength(value string) bool {
	if value == "" || len(value) > maxLengthDigits {
		return false
	}
	return strings.Trim(value, "0123456789") == ""
}

// shortened returns the beginning of a line for an error.
func shortened(line []byte) []byte {
	const most = 100
	return line[:min(len(line), most)]
}
