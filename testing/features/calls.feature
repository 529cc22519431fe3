Feature: Every caller gets its own whole answer, and nothing runs twice

  Scenario: A repeat of a non-idempotent call gets the first answer
    Given a router before 2 targets that answer
    When a caller posts "/desk/book" with the key "k1" twice
    Then both answers are the same
    And the targets ran 1 call

  Scenario: A non-idempotent call whose target dies may have run
    Given a router before 2 targets that close without an answer
    When a caller posts "/desk/book" with the key "k1" once
    Then the answer's status is 502
    And the answer's verdict is "may-have-run"
    And the targets ran 1 call

  Scenario: A lookup whose target dies is answered by another
    Given a router before a target that closes and one that answers
    When a caller gets "/desk/book" 4 times
    Then every answer is whole

  Scenario: A stream that breaks is never taken for a whole one
    Given a router before 1 target that cuts its streams
    When a caller posts a streamed chat turn
    Then the answer is not whole
    And it holds an explicit error event

  Scenario: A caller without a known key is refused as not run
    Given a router before 1 target that answers
    When a caller with the key "wrong" gets "/desk/book"
    Then the answer's status is 401
    And the answer's verdict is "not-run"
    And the targets ran 0 calls
