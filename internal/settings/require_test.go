package settings

import (
	"strings"
	"testing"
)

func TestRequiredFieldsAndAddresses(t *testing.T) {
	if err := Require(Field{"name", "x"}, Field{"data", ""}); err == nil || !strings.Contains(err.Error(), "data is missing") {
		t.Errorf("error for an empty field: %v", err)
	}
	if err := Require(Field{"name", "x"}); err != nil {
		t.Error(err)
	}
	if err := CheckAddresses("127.0.0.1:1", "nowhere"); err == nil || !strings.Contains(err.Error(), `address "nowhere"`) {
		t.Errorf("error for an invalid address: %v", err)
	}
	if err := CheckAddresses("127.0.0.1:1"); err != nil {
		t.Error(err)
	}
}
