package advice_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAdvice(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "advice")
}
