Feature: Every caller gets the complete answer to its own call, and no call runs twice

  Scenario: A repeated non-idempotent call gets the first answer
    Given a router before 2 targets that answer
    When a caller posts "/desk/book" with the key "k1" twice
    Then both answers are the same
    And the targets ran 1 call

  Scenario: A non-idempotent call may have run if its target closes without an answer
    Given a router before 2 targets that close without an answer
    When a caller posts "/desk/book" with the key "k1" once
    Then the answer's status is 502
    And the answer's verdict is "may-have-run"
    And the targets ran 1 call

  Scenario: A lookup whose target closes is answered by another target
    Given a router before a target that closes and one that answers
    When a caller gets "/desk/book" 4 times
    Then every answer is whole

  Scenario: A truncated stream never appears complete
    Given a router before 1 target that cuts its streams
    When a caller posts a streamed chat turn
    Then the answer is not whole
    And it contains an explicit error event

  Scenario: A caller without a known key is refused as not run
    Given a router before 1 target that answers
    When a caller with the key "wrong" gets "/desk/book"
    Then the answer's status is 401
    And the answer's verdict is "not-run"
    And the targets ran 0 calls
