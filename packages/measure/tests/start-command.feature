Feature: The start command of the repository

  Scenario: npm start is stopped by SIGTERM to npm
    Given "npm start" runs until it is ready
    When npm gets SIGTERM
    Then the deployment says that it has stopped, and its ports are free
