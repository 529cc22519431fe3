Feature: Settings are validated before they are used

  Scenario: Every fault is printed with its line
    Given a settings file with an unknown key and a value out of range
    When the operator checks it
    Then both faults are printed with their lines
    And the exit code is 2
